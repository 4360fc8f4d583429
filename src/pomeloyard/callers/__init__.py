"""HTTP application for callers: requests and jobs."""
