"""HTTP API and client for operators."""
