"""Operator API: the published schema ``operator.proto``, generated code, server and client."""
