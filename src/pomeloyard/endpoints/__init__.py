"""HTTP client of executors, the endpoints that run requests."""
