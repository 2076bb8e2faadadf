"""The node's sockets, on Twisted. Each file has one job; what is decided comes from the core's
host."""
