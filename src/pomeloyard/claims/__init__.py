"""Claims on idempotency keys, so that a keyed request runs at most once."""
