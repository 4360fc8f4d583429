"""Parts that several measurements share."""
