"""Settings that change while a node runs."""
