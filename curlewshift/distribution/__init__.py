"""Which version of the configuration is the newest, who holds it, and what is in force here. Free of I/O."""
