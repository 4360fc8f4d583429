"""Components shared by several measurements."""
