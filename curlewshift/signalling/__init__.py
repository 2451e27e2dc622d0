"""Message formats of WHIP and WHEP: encoding, parsing and validation, without I/O, sockets or clocks."""
