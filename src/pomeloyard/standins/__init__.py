"""Stand-ins for external systems, used by tests, the demonstration and --embedded."""
