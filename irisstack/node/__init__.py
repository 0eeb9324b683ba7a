"""The delivery node: sockets, workers and storage around the decision module."""
