"""Who may do a fleet-wide task now, and the number that fences it. Free of I/O."""
