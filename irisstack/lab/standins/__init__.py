"""Stand-ins for external systems, each implemented from the published interface of the system."""
