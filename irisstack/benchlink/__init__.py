"""Adapter to the simulator: its binary protocol, and the loop that runs instances of the decision module."""
