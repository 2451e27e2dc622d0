"""Leases: which front may do a fleet-wide task now, and the fencing token of its tenure. Free of I/O."""
