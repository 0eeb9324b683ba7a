"""Adapter to the bench: its binary protocol, and the loop that hosts instances of the decision module."""
