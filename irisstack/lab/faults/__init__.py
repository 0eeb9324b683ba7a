"""Faults of a machine, made for one process: see `rig`."""
