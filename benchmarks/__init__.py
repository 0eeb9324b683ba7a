"""Benchmarks that import the node's internal modules, which the laboratory may not import."""
