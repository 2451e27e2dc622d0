"""Datagrams between the members of a site: frames, the channel (free of I/O), its UDP socket, and the subsystems on it."""
