"""Seeded random workloads for the two layouts."""

import dataclasses

from laburnumgate_core import model
from laburnumgate_standins import layout as layouts
import numpy


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request; `work_ms` is its actual run time at speed 1."""

    at_ms: int
    job_id: str
    account: str
    spec: model.JobSpec
    work_ms: int
    always_fails: bool = False
    cancel_at_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Fault:
    """Fault or operator action at one time.

    `kind` is `out` or `in` for a zone that operators take out of service or
    back, `fail` or `mend` for the start and end of a time in which an endpoint
    fails every task, `slow-stop` for an endpoint that confirms stops too late.
    """

    at_ms: int
    kind: str
    target: str


@dataclasses.dataclass(frozen=True)
class Workload:
    """Arrivals and faults, each in order of time."""

    layout: layouts.Layout
    duration_ms: int
    arrivals: tuple[Arrival, ...]
    faults: tuple[Fault, ...]


@dataclasses.dataclass(frozen=True)
class _JobKind:
    """Kind of job: sizes, median run time and number of jobs per burst."""

    name: str
    parts: tuple[int, ...]
    accelerators: tuple[int, ...]
    run_ms: int
    burst: int = 1
    checkpointable: bool = False


_INTERACTIVE_KIND = _JobKind("interactive", (1, 2), (2, 4, 8), 8_000)
_LONG_KIND = _JobKind("long", (2, 4, 8), (8,), 60_000, checkpointable=True)
_SMALL_KIND = _JobKind("small", (1,), (1, 2), 6_000, burst=24)
_LARGE_KIND = _JobKind("large", (4,), (4, 8), 25_000, burst=4)
_KINDS = (_INTERACTIVE_KIND, _LONG_KIND, _SMALL_KIND, _LARGE_KIND)
# Share of the offered work by kind and by urgency of the submitting client
# account: surveyors submit interactive work, models are rerun overnight.
_WORK_SHARES = (
    (_INTERACTIVE_KIND, model.Urgency.URGENT, 0.16),
    (_SMALL_KIND, model.Urgency.URGENT, 0.08),
    (_LARGE_KIND, model.Urgency.URGENT, 0.06),
    (_INTERACTIVE_KIND, model.Urgency.NORMAL, 0.05),
    (_SMALL_KIND, model.Urgency.NORMAL, 0.05),
    (_LARGE_KIND, model.Urgency.NORMAL, 0.08),
    (_LONG_KIND, model.Urgency.NORMAL, 0.12),
    (_SMALL_KIND, model.Urgency.BATCH, 0.05),
    (_LARGE_KIND, model.Urgency.BATCH, 0.1),
    (_LONG_KIND, model.Urgency.BATCH, 0.25),
)
# Fraction of requests that must not be repeated, if the account declares kinds
# of that sort.
_NEVER_REPEAT_FRACTION = 0.1
_CANCELLED_FRACTION = 0.03
_ALWAYS_FAILING_FRACTION = 0.01
_MAX_CANCEL_DELAY_MS = 20_000


def build(
    layout: layouts.Layout,
    seed: int,
    load: float,
    duration_ms: int,
    with_zone_outage: bool,
) -> Workload:
    """Returns a workload that offers `load` of the layout's capacity.

    Args:
      layout: zones, endpoints and accounts of an installation.
      seed: seed of the generator; equal seeds give equal workloads.
      load: offered work divided by accelerators times speed times duration.
      duration_ms: time during which requests arrive.
      with_zone_outage: whether a zone is out of service from 40% to 70% of
        `duration_ms`.
    """
    rng = numpy.random.default_rng(seed)
    speed = sum(layout.speed_by_zone.values())
    capacity = speed * layout.endpoints_per_rack * layout.accelerators
    arrivals: list[Arrival] = []
    estimate_ratio_by_key: dict[tuple[str, str], float] = {}
    for account in layout.accounts:
        for kind in _KINDS:
            key = (account.name, kind.name)
            estimate_ratio_by_key[key] = float(numpy.exp(rng.normal(0, 0.8)))
    for kind, urgency, share in _WORK_SHARES:
        remaining_work = load * capacity * duration_ms * share
        accounts = [a for a in layout.accounts if a.urgency == urgency]
        while remaining_work > 0:
            account = accounts[rng.integers(len(accounts))]
            start_ms = int(rng.integers(duration_ms))
            for _ in range(kind.burst):
                estimate_ratio = estimate_ratio_by_key[
                    (account.name, kind.name)
                ]
                arrival = _arrival(
                    rng, len(arrivals), account, kind, start_ms, estimate_ratio
                )
                if arrival.spec.accelerators > account.quota:
                    continue
                arrivals.append(arrival)
                remaining_work -= arrival.work_ms * arrival.spec.accelerators
    arrivals.sort(key=lambda arrival: (arrival.at_ms, arrival.job_id))
    faults = _faults(rng, layout, duration_ms, with_zone_outage)
    return Workload(layout, duration_ms, tuple(arrivals), faults)


def _arrival(
    rng: numpy.random.Generator,
    number: int,
    account: layouts.Account,
    kind: _JobKind,
    start_ms: int,
    estimate_ratio: float,
) -> Arrival:
    work_ratio = float(numpy.exp(rng.normal(0, 0.5)))
    work_ms = max(500, int(kind.run_ms * min(4.0, work_ratio)))
    at_ms = start_ms + int(rng.integers(500))
    never_repeat = (
        account.never_repeat and rng.random() < _NEVER_REPEAT_FRACTION
    )
    spec = model.JobSpec(
        kind=account.never_repeat[0] if never_repeat else kind.name,
        parts=int(rng.choice(kind.parts)),
        accelerators_per_part=int(rng.choice(kind.accelerators)),
        run_ms=max(1, int(work_ms * estimate_ratio)),
        urgency=model.Urgency(account.urgency),
        idempotent=not never_repeat,
        checkpointable=kind.checkpointable and not never_repeat,
    )
    cancelled = rng.random() < _CANCELLED_FRACTION
    cancel_at_ms = at_ms + 1 + int(rng.integers(_MAX_CANCEL_DELAY_MS))
    return Arrival(
        at_ms=at_ms,
        job_id=f"{account.name}/{kind.name}-{number}",
        account=account.name,
        spec=spec,
        work_ms=work_ms,
        always_fails=bool(rng.random() < _ALWAYS_FAILING_FRACTION),
        cancel_at_ms=cancel_at_ms if cancelled else 0,
    )


def _faults(
    rng: numpy.random.Generator,
    layout: layouts.Layout,
    duration_ms: int,
    with_zone_outage: bool,
) -> tuple[Fault, ...]:
    faults = []
    failing_zone = layout.zones[rng.integers(len(layout.zones))]
    failing_endpoint = (
        f"{failing_zone}-r1-{rng.integers(1, layout.endpoints_per_rack + 1)}"
    )
    faults.append(Fault(duration_ms // 10, "fail", failing_endpoint))
    faults.append(Fault(duration_ms * 3 // 10, "mend", failing_endpoint))
    slow_zone = layout.zones[rng.integers(len(layout.zones))]
    slow_endpoint = (
        f"{slow_zone}-r1-{rng.integers(1, layout.endpoints_per_rack + 1)}"
    )
    faults.append(Fault(0, "slow-stop", slow_endpoint))
    if with_zone_outage:
        outage_zone = layout.zones[rng.integers(len(layout.zones))]
        faults.append(Fault(duration_ms * 4 // 10, "out", outage_zone))
        faults.append(Fault(duration_ms * 7 // 10, "in", outage_zone))
    return tuple(sorted(faults, key=lambda fault: fault.at_ms))
