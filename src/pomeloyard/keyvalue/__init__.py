"""Key-value store: interface, typed records, etcd client and in-memory store."""
