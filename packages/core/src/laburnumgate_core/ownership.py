"""Chooses one of several hosts by rendezvous hashing.

The choice only avoids duplicate work. Correctness relies on the endpoints'
exclusive leases and on the order of the log.
"""

from collections.abc import Iterable

import xxhash


def weight(zone: str, host_id: str) -> int:
    """Returns the 64-bit weight of a host for a zone."""
    return xxhash.xxh3_64_intdigest(f"{zone}\0{host_id}".encode())


def placing_host(zone: str, host_ids: Iterable[str]) -> str | None:
    """Returns the host with the highest weight, None if there is none."""
    return max(
        host_ids,
        key=lambda host_id: (weight(zone, host_id), host_id),
        default=None,
    )
