"""WHIP and WHEP without I/O: what is written on the wire, read and checked. Nothing here knows a socket or a clock."""
