"""Measurements that reach into a node's insides, which the laboratory may not."""
