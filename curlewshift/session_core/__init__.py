"""The session core of a front. Free of I/O: sockets, the clock and randomness are passed in."""
