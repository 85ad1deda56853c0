"""Messaging between daemons: length-prefixed MessagePack frames over TCP."""
