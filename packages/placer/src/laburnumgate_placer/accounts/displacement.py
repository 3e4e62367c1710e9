"""Selects runs of an account at its limit to stop for its own urgent work.

Load pattern: the patient work of an account fills the account's limit, and
urgent work of the same account arrives. The limit may bind while the pool has
free endpoints, so that the stopped runs need not be where the unit will run.
"""

import dataclasses

from laburnumgate_placer import endpoint_table
from laburnumgate_placer import model
from laburnumgate_placer import placement
from laburnumgate_placer import progress
from laburnumgate_placer import reclaim
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.accounts import limits

_NONE = model.Resources()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A run that may be stopped.

    Attributes:
      frees: what the usage of the account falls by once the run has ended.
      cost: what the stop costs, in any unit.
    """

    frees: model.Resources
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Runs whose ends let a unit start within the limit of its account.

    Attributes:
      victims: the runs to stop.
      stopping: runs of the account that are being stopped already.
      endpoint_ids: endpoints to hold for the unit; empty if it fits on free
        ones.
    """

    victims: tuple[progress.Run, ...]
    stopping: tuple[progress.Run, ...]
    endpoint_ids: frozenset[str]


def lacking(
    limit: model.Resources, usage: model.Resources, need: model.Resources
) -> model.Resources:
    """Returns how much the usage has to fall before the need fits the limit.

    A resource that is not limited or not needed lacks nothing.
    """
    return model.Resources(
        _lacking(limit.cpu, usage.cpu, need.cpu),
        _lacking(limit.mem_mb, usage.mem_mb, need.mem_mb),
        _lacking(limit.gpu, usage.gpu, need.gpu),
    )


def select(
    candidates: list[Candidate], lacks: model.Resources
) -> list[int] | None:
    """Returns the positions of the cheapest candidates that free enough.

    The cheapest for what they free of the lacking resources are taken first;
    those that turn out not to be needed are dropped, the most expensive first.
    Returns None if all of them together do not free enough.
    """
    useful = [
        number
        for number, candidate in enumerate(candidates)
        if _useful(candidate.frees, lacks)
    ]
    useful.sort(
        key=lambda n: candidates[n].cost / _useful(candidates[n].frees, lacks)
    )
    chosen = []
    left = lacks
    for number in useful:
        if _covered(left):
            break
        chosen.append(number)
        left = left.plus(candidates[number].frees, -1)
    if not _covered(left):
        return None
    for number in sorted(chosen, key=lambda n: -candidates[n].cost):
        without = left.plus(candidates[number].frees)
        if _covered(without):
            chosen.remove(number)
            left = without
    return chosen


def expected_start_ms(
    ends: list[tuple[float, progress.Member]],
    account: str,
    lacks: model.Resources,
) -> float | None:
    """Returns when enough work of the account is expected to have ended.

    Args:
      ends: expected ends of all running work, in order of time.
      account: the account.
      lacks: how much its usage has to fall.

    Returns:
      A monotonic time in ms, or None if all ends together are not enough.
    """
    for end_ms, member in ends:
        unit = member.run.unit
        if member.terminated or unit.entry.job.account != account:
            continue
        lacks = lacks.plus(unit.step.room, -1)
        if _covered(lacks):
            return end_ms
    return None


def plan(
    tables: tables_module.Tables,
    unit: progress.Unit,
    endpoints: list[endpoint_table.EndpointState],
    free_by_id: dict[str, model.Resources],
    scope: reclaim.Scope,
    requirement: placement.Requirement,
    claimed: model.Resources,
    now_ms: int,
) -> Plan | None:
    """Finds the runs of the unit's account whose stops lose the least.

    Args:
      tables: the leader's tables.
      unit: the unit that the limit of its account holds back.
      endpoints: endpoints that may run the unit.
      free_by_id: free capacity by endpoint id.
      scope: bounds on the runs that may be stopped.
      requirement: the requirements on the endpoints.
      claimed: what other units of the account will take first.
      now_ms: monotonic time.

    Returns:
      A plan, without victims if the stops in progress are sufficient, or None
      if no permitted stops let the unit start.
    """
    account = unit.entry.job.account
    scope = dataclasses.replace(scope, account=account)
    own = [run for run in tables.usage.runs(account) if _ends_soon(tables, run)]
    stopping = tuple(run for run in own if run.phase == progress.Phase.STOPPING)
    usage = tables.usage.usage(account).plus(claimed)
    for run in stopping:
        usage = usage.plus(_frees(run), -1)
    costs = reclaim.Costs(tables, scope, now_ms)
    victims: list[progress.Run] = []
    endpoint_ids: frozenset[str] = frozenset()
    if not placement.fits(unit, endpoints, free_by_id, requirement):
        found = reclaim.plan(
            tables, unit, endpoints, scope, requirement, now_ms
        )
        if found is not None:
            victims.extend(found.victims)
            endpoint_ids = found.endpoint_ids
        elif scope.below_priority is not None:
            return None
        # A unit whose guarantee is due may stop other accounts' runs as soon
        # as the limit lets it start.
    for run in victims:
        usage = usage.plus(_frees(run), -1)
    need = _NONE.plus(unit.step.room, unit.size)
    others = [
        run
        for run in own
        if run not in victims and reclaim.may_stop(tables, run, scope, now_ms)
    ]
    chosen = select(
        [Candidate(_frees(run), costs.total([run])) for run in others],
        lacking(tables.config.limit(account), usage, need),
    )
    if chosen is None:
        return None
    victims.extend(others[number] for number in chosen)
    if not reclaim.worthwhile(victims, scope, costs):
        return None
    return Plan(tuple(victims), stopping, endpoint_ids)


def _ends_soon(tables: tables_module.Tables, run: progress.Run) -> bool:
    """Whether a stop of the run can end within the usual time.

    What runs on an endpoint that does not answer counts until its lease has
    certainly expired.
    """
    for member in run.members:
        if member.terminated:
            continue
        state = tables.endpoints.by_id.get(member.endpoint_id)
        if state is None or not state.answering:
            return False
    return True


def _frees(run: progress.Run) -> model.Resources:
    """Returns what the members of a run that are left count."""
    left = sum(not member.terminated for member in run.members)
    return _NONE.plus(run.unit.step.room, left)


def _lacking(limit: int, usage: int, need: int) -> int:
    if limit <= 0 or need <= 0:
        return 0
    return max(0, usage + need - limit)


def _covered(left: model.Resources) -> bool:
    return max(left.cpu, left.mem_mb, left.gpu) <= 0


def _useful(frees: model.Resources, lacks: model.Resources) -> float:
    """Returns the fractions of the lacking resources, added up."""
    total = 0.0
    for resource in limits.RESOURCES:
        lack = getattr(lacks, resource)
        if lack > 0:
            total += min(1.0, getattr(frees, resource) / lack)
    return total
