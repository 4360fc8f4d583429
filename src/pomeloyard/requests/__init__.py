"""The path of a request from admission to the whole response."""
