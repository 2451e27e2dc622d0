"""Stand-ins (test doubles) for the environment of a front: media servers, the server list, viewers and injected faults."""
