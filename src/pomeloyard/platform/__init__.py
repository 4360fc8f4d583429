"""The platform's key-value store, VM list and VM operations."""
