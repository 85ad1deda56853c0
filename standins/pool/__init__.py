"""Stand-ins for the metadata store and the servers of the platform, by its published API."""
