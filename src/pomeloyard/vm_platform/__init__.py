"""Interfaces of the platform's VM operations and its eventually consistent VM list."""
