"""The bench's wire: frames to interface types and back, and the loop that hosts the instances."""
