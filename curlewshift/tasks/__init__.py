"""Fleet-wide tasks under leases: begin, act, stop. Free of I/O."""
