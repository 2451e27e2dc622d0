"""The front process: anyio tasks that drive the I/O-free session core on real sockets."""
