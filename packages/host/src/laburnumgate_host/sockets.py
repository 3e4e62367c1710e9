"""Creates bound sockets for the daemon's servers."""

import ipaddress
import socket


def bind(
    ip: str, port: int, receive_buffer_bytes: int | None = None
) -> socket.socket:
    """Returns a TCP socket bound to an IP address and a port.

    Connections inherit the size of its receive buffer, in bytes; None leaves
    it to the kernel.

    The servers get a bound socket because uvloop starts four resolver threads
    when it is given a host and a port, although an IP address needs no lookup.

    Raises:
      OSError: if the address is in use or does not belong to this machine.
    """
    family = socket.AF_INET
    if ipaddress.ip_address(ip).version == 6:
        family = socket.AF_INET6
    bound = socket.socket(family)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if receive_buffer_bytes is not None:
        bound.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
    bound.bind((ip, port))
    return bound
