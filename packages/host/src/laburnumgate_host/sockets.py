"""Bound sockets for the daemon's servers."""

import ipaddress
import socket


def bind(ip: str, port: int) -> socket.socket:
    """Returns a TCP socket bound to an IP number and a port.

    Given a host and a port, uvloop starts four resolver threads, although an
    IP number needs no look-up.

    Raises:
      OSError: if the address is in use or not of this machine.
    """
    family = socket.AF_INET
    if ipaddress.ip_address(ip).version == 6:
        family = socket.AF_INET6
    bound = socket.socket(family)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((ip, port))
    return bound
