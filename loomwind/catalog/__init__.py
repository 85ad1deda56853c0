"""The catalog of groups, models, adapters, routes and drains, and its replication to daemons."""
