"""Request handling from admission to the complete response."""
