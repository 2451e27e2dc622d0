"""HTTP/1.1 client and server on sockets, by h11 (protocol) and anyio (I/O). Independent of the application."""
