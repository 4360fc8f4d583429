"""Clients of executors, the endpoints that run requests."""
