"""Free capacity of a zone, kept as runs come and go, and gangs' endpoints.

Accelerators of one endpoint divide into those in use, those claimed by a job
that waits for stops, and free ones. Reserved accelerators are owed to client
accounts; pinned ones are used, outside a guarantee, by work that cannot be
stopped without loss. Reserved and pinned together never exceed the endpoint,
so that stops alone always clear what is reserved.
"""

from collections.abc import Callable
from collections.abc import Collection

from laburnumgate_core import model


class Row:
    """Capacity of one endpoint; `accelerators` and the like are free ones."""

    def __init__(self, endpoint: model.Endpoint):
        self.endpoint = endpoint
        self.accelerators = endpoint.accelerators
        self.cpus = endpoint.cpus
        self.memory_mb = endpoint.memory_mb
        self.slots = endpoint.slots
        self.reserved = 0
        self.pinned = 0
        # Used outside a guarantee by work that a stop would lose.
        self.exposed = 0
        self.enabled = True
        self.suspect = False
        # Parts and accelerators on the endpoint by job id.
        self.parts_by_job: dict[str, int] = {}
        self.accelerators_by_job: dict[str, int] = {}

    def fits(self, spec: model.JobSpec) -> int:
        """Returns how many parts of `spec` fit in what is free."""
        counts = [self.slots]
        if spec.accelerators_per_part:
            counts.append(self.accelerators // spec.accelerators_per_part)
        if spec.cpus_per_part:
            counts.append(self.cpus // spec.cpus_per_part)
        if spec.memory_mb_per_part:
            counts.append(self.memory_mb // spec.memory_mb_per_part)
        return max(0, min(counts))

    def unreserved(self) -> int:
        """Returns the accelerators that work without a stop may still take."""
        return self.endpoint.accelerators - self.reserved - self.pinned

    def unexposed(self) -> int:
        """Returns what such work may take without risk of a reclaim."""
        return self.endpoint.accelerators - self.reserved - self.exposed


class _RackTable:
    """Enabled rows of one rack by free accelerators."""

    def __init__(self):
        self.free = 0
        self.rows_by_free: dict[int, dict[str, Row]] = {}

    def add(self, row: Row) -> None:
        self.free += row.accelerators
        rows = self.rows_by_free.setdefault(row.accelerators, {})
        rows[row.endpoint.endpoint_id] = row

    def remove(self, row: Row) -> None:
        self.free -= row.accelerators
        rows = self.rows_by_free[row.accelerators]
        del rows[row.endpoint.endpoint_id]
        if not rows:
            del self.rows_by_free[row.accelerators]

    def slots(self, accelerators: int) -> int:
        """Returns how many parts of that size fit by accelerators alone."""
        return sum(
            free // accelerators * len(rows)
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
        """Free accelerators of the rack that has most of them."""
        return max((rack.free for rack in self._racks.values()), default=0)

    @property
    def largest_free_endpoint(self) -> int:
        """Free accelerators of the endpoint that has most of them."""
        return max(
            (
                free
                for rack in self._racks.values()
                for free in rack.rows_by_free
            ),
            default=0,
        )

    def put(self, endpoint: model.Endpoint) -> None:
        """Adds an endpoint, all of it free."""
        row = Row(endpoint)
        self.rows_by_id[endpoint.endpoint_id] = row
        self._rack(row).add(row)

    def remove(self, endpoint_id: str) -> None:
        """Removes an endpoint."""
        row = self.rows_by_id.pop(endpoint_id)
        if row.enabled:
            self._rack(row).remove(row)

    def enable(self, endpoint_id: str, enabled: bool) -> None:
        """Lets an endpoint get new work or not."""
        row = self.rows_by_id[endpoint_id]
        if row.enabled == enabled:
            return
        row.enabled = enabled
        if enabled:
            self._rack(row).add(row)
        else:
            self._rack(row).remove(row)

    def take(
        self, job_id: str, spec: model.JobSpec, endpoint_id: str, parts: int
    ) -> None:
        """Takes the capacity of parts; a negative number gives it back."""
        row = self.rows_by_id.get(endpoint_id)
        if row is None:
            return
        if row.enabled:
            self._rack(row).remove(row)
        row.accelerators -= spec.accelerators_per_part * parts
        row.cpus -= spec.cpus_per_part * parts
        row.memory_mb -= spec.memory_mb_per_part * parts
        row.slots -= parts
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

        Prefers the rack that is left with the fewest free accelerators, so
        that whole racks stay free for large gangs, and the faster of two
        racks that are left with equally many.

        Args:
          spec: the job.
          allowed: upper bound of the parts on a row, if there is one.
          avoid: ids of endpoints that the job must not use.
        """
        racks = [
            (rack.free, name, rack)
            for name, rack in self._racks.items()
            if rack.free >= spec.accelerators
        ]
        racks.sort(key=lambda one: one[:2])
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
        # The fullest racks first, so that the gang spans few open racks.
        all_racks = sorted(self._racks.items(), key=lambda one: one[1].free)
        return _fill(spec, [rack for _, rack in all_racks], allowed, avoid)

    def _rack(self, row: Row) -> _RackTable:
        return self._racks.setdefault(row.endpoint.rack, _RackTable())


def _fill(
    spec: model.JobSpec,
    racks: list[_RackTable],
    allowed: Callable[[Row], int] | None,
    avoid: Collection[str],
) -> tuple[str, ...] | None:
    """Fills the fullest endpoints first; returns None if parts are left."""
    chosen: list[str] = []
    for rack in racks:
        for free in sorted(rack.rows_by_free):
            if free < spec.accelerators_per_part:
                continue
            # Suspect endpoints last: one that fails everything is always
            # free and would otherwise attract all work.
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
