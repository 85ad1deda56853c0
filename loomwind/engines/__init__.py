"""Protocol of model engines and application servers, and a client for its control calls."""
