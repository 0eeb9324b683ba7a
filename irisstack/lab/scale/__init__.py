"""Scale tests: many hollow nodes in one process, each with the real decision module, in virtual time."""
