"""Datagrams between the fronts of a site: frames, the channel (free of I/O), and one UDP socket."""
