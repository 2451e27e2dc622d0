"""Who is let in when not all can be, the same at every front; and how what is done again is kept from adding up. Free of I/O."""
