"""irisstack: delivers outbound messages to other firms' systems."""
