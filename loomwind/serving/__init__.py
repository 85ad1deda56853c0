"""Serves requests on a pool of externally managed servers: state, routing and forwarding."""
