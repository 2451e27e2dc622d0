"""Failure detection and membership of the fronts of a site, free of I/O."""
