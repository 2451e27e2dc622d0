"""HTTP/1.1 on sockets: h11 for the protocol, anyio for the rest. It carries messages and knows no viewing."""
