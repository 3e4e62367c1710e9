"""Chooses the endpoints of a gang."""

import dataclasses

from laburnumgate_core import model


@dataclasses.dataclass(frozen=True)
class Free:
    """What is free on one endpoint."""

    endpoint: model.Endpoint
    accelerators: int
    cpus: int
    memory_mb: int
    slots: int

    def fits(self, spec: model.JobSpec) -> int:
        """Returns how many parts of `spec` fit on the endpoint."""
        counts = [self.slots]
        if spec.accelerators_per_part:
            counts.append(self.accelerators // spec.accelerators_per_part)
        if spec.cpus_per_part:
            counts.append(self.cpus // spec.cpus_per_part)
        if spec.memory_mb_per_part:
            counts.append(self.memory_mb // spec.memory_mb_per_part)
        return max(0, min(counts))


def choose(
    spec: model.JobSpec, free_by_rack: dict[str, list[Free]]
) -> tuple[str, ...] | None:
    """Returns the endpoint of each part, or None if the gang does not fit.

    Prefers the rack that is left with the fewest free accelerators, so that
    whole racks stay free for large gangs.
    """
    best = None
    best_left = 0
    for rack in sorted(free_by_rack):
        rows = free_by_rack[rack]
        chosen = _fill(spec, rows)
        if chosen is None:
            continue
        left = sum(row.accelerators for row in rows) - spec.accelerators
        if best is None or left < best_left:
            best = chosen
            best_left = left
    if best is not None or spec.adjacency is model.Adjacency.RACK:
        return best
    return _fill(spec, [row for rows in free_by_rack.values() for row in rows])


def _fill(spec: model.JobSpec, rows: list[Free]) -> tuple[str, ...] | None:
    """Fills the fullest endpoints first; returns None if parts are left."""
    chosen: list[str] = []
    order = sorted(
        rows, key=lambda row: (row.accelerators, row.endpoint.endpoint_id)
    )
    for row in order:
        count = min(row.fits(spec), spec.parts - len(chosen))
        chosen.extend([row.endpoint.endpoint_id] * count)
        if len(chosen) == spec.parts:
            return tuple(chosen)
    return None
