"""HTTP/1.1 server, client and connection pool on top of h11."""
