"""Fleet-wide tasks over leases: begin, act, stop. Free of I/O."""
