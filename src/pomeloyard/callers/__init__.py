"""HTTP API for callers: requests to services, and jobs."""
