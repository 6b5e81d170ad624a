"""HTTP/1.1 client and server, and UDP sockets."""
