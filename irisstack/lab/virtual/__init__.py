"""Playing a scenario in virtual time, with the decisions themselves in this process."""
