"""Stand-ins for outside systems, one for each, written from the published interface of the system."""
