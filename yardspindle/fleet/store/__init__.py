"""The key-value store that a fleet shares: etcd through its JSON gateway, or a SQLite file on one machine."""
