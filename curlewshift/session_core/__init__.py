"""The session core of a front: no socket, no clock and no chance of its own."""
