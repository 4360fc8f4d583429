"""Key-value store: interface, records, and its etcd and in-memory forms."""
