"""The auditor: the six rules and the worth of a run, from its ledger alone."""
