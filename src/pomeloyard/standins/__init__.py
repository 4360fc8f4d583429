"""Small stand-ins for outside systems, used by tests, the demo and --embedded."""
