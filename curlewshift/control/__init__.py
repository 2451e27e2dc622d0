"""A control machine: keeps the lease of the configuration and its versions."""
