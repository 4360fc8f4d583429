"""HTTP application and client for operators."""
