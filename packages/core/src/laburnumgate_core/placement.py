"""Tracks the free capacity of a zone and chooses endpoints for gangs.

The accelerators of an endpoint are in use, claimed by a job that waits for runs
to stop, or free. Reserved accelerators are guaranteed to client accounts;
pinned ones are used, outside a guarantee, by work that cannot be stopped
without loss. Reserved and pinned accelerators together never exceed those of
the endpoint, so that stopping runs always frees the reserved capacity.
"""

from collections.abc import Callable
from collections.abc import Collection

from laburnumgate_core import model


class Row:
    """Capacity of one endpoint.

    `accelerators`, `cpus`, `memory_mb` and `slots` are the free amounts.
    """

    def __init__(self, endpoint: model.Endpoint):
        self.endpoint = endpoint
        self.accelerators = endpoint.accelerators
        self.cpus = endpoint.cpus
        self.memory_mb = endpoint.memory_mb
        self.slots = endpoint.slots
        self.reserved = 0
        self.pinned = 0
        # Accelerators used outside a guarantee by work that a stop would lose.
        self.exposed = 0
        self.enabled = True
        self.suspect = False
        # Parts and accelerators in use or claimed on the endpoint by job id.
        self.parts_by_job: dict[str, int] = {}
        self.accelerators_by_job: dict[str, int] = {}

    def fits(self, spec: model.JobSpec) -> int:
        """Returns how many parts of `spec` fit in the free capacity."""
        counts = [self.slots]
        if spec.accelerators_per_part:
            counts.append(self.accelerators // spec.accelerators_per_part)
        if spec.cpus_per_part:
            counts.append(self.cpus // spec.cpus_per_part)
        if spec.memory_mb_per_part:
            counts.append(self.memory_mb // spec.memory_mb_per_part)
        return max(0, min(counts))

    def take(self, spec: model.JobSpec, parts: int) -> None:
        """Subtracts parts of `spec` from the free amounts."""
        self.accelerators -= spec.accelerators_per_part * parts
        self.cpus -= spec.cpus_per_part * parts
        self.memory_mb -= spec.memory_mb_per_part * parts
        self.slots -= parts

    def unreserved(self) -> int:
        """Returns the accelerators that are neither reserved nor pinned.

        More work that cannot be stopped may use up to this many; work that can
        be stopped may occupy some of them.
        """
        return self.endpoint.accelerators - self.reserved - self.pinned

    def unexposed(self) -> int:
        """Returns the accelerators that are neither reserved nor exposed.

        Work on them runs no risk of a reclaim.
        """
        return self.endpoint.accelerators - self.reserved - self.exposed


class _RackTable:
    """Enabled rows of one rack, grouped by free accelerators.

    A row has less than none free while its use exceeds its capacity. That
    takes nothing from what other rows have free.
    """

    def __init__(self):
        self.free = 0
        self.rows_by_free: dict[int, dict[str, Row]] = {}

    def add(self, row: Row) -> None:
        self.free += max(0, row.accelerators)
        rows = self.rows_by_free.setdefault(row.accelerators, {})
        rows[row.endpoint.endpoint_id] = row

    def remove(self, row: Row) -> None:
        self.free -= max(0, row.accelerators)
        rows = self.rows_by_free[row.accelerators]
        del rows[row.endpoint.endpoint_id]
        if not rows:
            del self.rows_by_free[row.accelerators]

    def slots(self, accelerators: int) -> int:
        """Returns how many parts of that size fit, by accelerators only."""
        return sum(
            max(0, free) // accelerators * len(rows)
            for free, rows in self.rows_by_free.items()
        )


class FreeTable:
    """Free capacity by rack and endpoint; each change costs O(1)."""

    def __init__(self):
        self.rows_by_id: dict[str, Row] = {}
        self._racks: dict[str, _RackTable] = {}

    @property
    def free(self) -> int:
        """Free accelerators of all enabled endpoints."""
        return sum(rack.free for rack in self._racks.values())

    @property
    def largest_free_rack(self) -> int:
        """Free accelerators of the rack with the most of them."""
        return max((rack.free for rack in self._racks.values()), default=0)

    @property
    def largest_free_endpoint(self) -> int:
        """Free accelerators of the endpoint with the most of them."""
        return max(
            (
                free
                for rack in self._racks.values()
                for free in rack.rows_by_free
            ),
            default=0,
        )

    def put(self, endpoint: model.Endpoint) -> None:
        """Adds an endpoint with all of its capacity free."""
        row = Row(endpoint)
        self.rows_by_id[endpoint.endpoint_id] = row
        self._rack(row).add(row)

    def remove(self, endpoint_id: str) -> None:
        """Removes an endpoint."""
        row = self.rows_by_id.pop(endpoint_id)
        if row.enabled:
            self._rack(row).remove(row)

    def set_enabled(self, endpoint_id: str, enabled: bool) -> None:
        """Sets whether an endpoint may be given new work."""
        row = self.rows_by_id[endpoint_id]
        if row.enabled == enabled:
            return
        row.enabled = enabled
        if enabled:
            self._rack(row).add(row)
        else:
            self._rack(row).remove(row)

    def allocate(
        self, job_id: str, spec: model.JobSpec, endpoint_id: str, parts: int
    ) -> None:
        """Allocates capacity for parts; a negative number releases it."""
        row = self.rows_by_id.get(endpoint_id)
        if row is None:
            return
        if row.enabled:
            self._rack(row).remove(row)
        row.take(spec, parts)
        left = row.parts_by_job.get(job_id, 0) + parts
        if left:
            row.parts_by_job[job_id] = left
            row.accelerators_by_job[job_id] = left * spec.accelerators_per_part
        else:
            row.parts_by_job.pop(job_id, None)
            row.accelerators_by_job.pop(job_id, None)
        if row.enabled:
            self._rack(row).add(row)

    def choose(
        self,
        spec: model.JobSpec,
        allowed: Callable[[Row], int] | None = None,
        avoid: Collection[str] = (),
    ) -> tuple[str, ...] | None:
        """Returns the endpoint of each part, None if the gang does not fit.

        Prefers the rack with the fewest free accelerators (best fit), so that
        whole racks stay free for large gangs, and the faster of two endpoints
        in a rack with equally many free accelerators.

        Args:
          spec: the job.
          allowed: returns the maximum number of parts on a row; None for no
            limit.
          avoid: ids of endpoints that the job must not use.
        """
        racks = [
            (rack.free, name, rack)
            for name, rack in self._racks.items()
            if rack.free >= spec.accelerators
        ]
        racks.sort(key=lambda item: item[:2])
        for _, _, rack in racks:
            if spec.accelerators_per_part:
                slots = rack.slots(spec.accelerators_per_part)
                if slots < spec.parts:
                    continue
            chosen = _fill(spec, [rack], allowed, avoid)
            if chosen is not None:
                return chosen
        if spec.adjacency is model.Adjacency.RACK:
            return None
        # Fullest racks first, so that the gang uses few of the emptier racks.
        all_racks = sorted(self._racks.items(), key=lambda item: item[1].free)
        return _fill(spec, [rack for _, rack in all_racks], allowed, avoid)

    def _rack(self, row: Row) -> _RackTable:
        return self._racks.setdefault(row.endpoint.rack, _RackTable())


def _fill(
    spec: model.JobSpec,
    racks: list[_RackTable],
    allowed: Callable[[Row], int] | None,
    avoid: Collection[str],
) -> tuple[str, ...] | None:
    """Fills the fullest endpoints first; returns None if not all parts fit."""
    chosen: list[str] = []
    for rack in racks:
        for free in sorted(rack.rows_by_free):
            if free < spec.accelerators_per_part:
                continue
            # Suspect endpoints last: an endpoint that fails every task is
            # always free and would otherwise be given all the work.
            rows = sorted(
                rack.rows_by_free[free].values(),
                key=lambda r: (
                    r.suspect,
                    -r.endpoint.speed,
                    r.endpoint.endpoint_id,
                ),
            )
            for row in rows:
                if row.endpoint.endpoint_id in avoid:
                    continue
                count = min(row.fits(spec), spec.parts - len(chosen))
                if allowed is not None:
                    count = min(count, allowed(row))
                chosen.extend([row.endpoint.endpoint_id] * max(0, count))
                if len(chosen) == spec.parts:
                    return tuple(chosen)
    return None
