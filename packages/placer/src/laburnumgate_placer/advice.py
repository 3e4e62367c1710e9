"""Tickets of the advice service, which allow a step to run on endpoints."""

import dataclasses

from laburnumgate_placer import model

# Minimum remaining validity of a ticket, which has to last until the endpoint
# has carried the start out.
TICKET_MARGIN_MS = 700
# Each endpoint in a request delays the answer.
MAX_ENDPOINTS_PER_REQUEST = 30


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StepKey:
    """One step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


def step_key(key: model.UnitKey) -> StepKey:
    """Returns the step that a unit belongs to."""
    return StepKey(key.job_id, key.occurrence, key.step)


@dataclasses.dataclass(eq=False, slots=True)
class _StepTickets:
    asked: set[str] = dataclasses.field(default_factory=set)
    ticket_by_endpoint: dict[str, str] = dataclasses.field(default_factory=dict)
    valid_until_by_endpoint: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


class AdviceTable:
    """Tickets by step and endpoint, and pending requests.

    Whether an endpoint may run a step never changes, but tickets expire.

    Attributes:
      requests: endpoints for which tickets are to be requested, by step.
    """

    def __init__(self):
        self.requests: dict[StepKey, tuple[str, ...]] = {}
        self._tickets_by_step: dict[StepKey, _StepTickets] = {}

    def tickets(self, step: StepKey, now_ms: int) -> dict[str, str]:
        """Returns tickets by endpoint that are valid for an immediate start."""
        entry = self._tickets_by_step.get(step)
        if entry is None:
            return {}
        return {
            endpoint_id: ticket
            for endpoint_id, ticket in entry.ticket_by_endpoint.items()
            if entry.valid_until_by_endpoint[endpoint_id]
            > now_ms + TICKET_MARGIN_MS
        }

    def request(
        self, step: StepKey, endpoint_ids: list[str], now_ms: int
    ) -> None:
        """Adds a request for tickets, with preferred endpoints first.

        Expired tickets of endpoints that may run the step are requested again.
        Endpoints that were refused are not.
        """
        entry = self._tickets_by_step.setdefault(step, _StepTickets())
        valid = self.tickets(step, now_ms)
        wanted = [
            endpoint_id
            for endpoint_id in endpoint_ids
            if endpoint_id not in valid
            and (
                endpoint_id not in entry.asked
                or endpoint_id in entry.ticket_by_endpoint
            )
        ]
        if wanted:
            self.requests[step] = tuple(wanted[:MAX_ENDPOINTS_PER_REQUEST])

    def add_tickets(
        self,
        step: StepKey,
        endpoint_ids: tuple[str, ...],
        ticket_by_endpoint: dict[str, str],
        valid_until_ms: int,
    ) -> None:
        """Adds the tickets granted for a request of these endpoints."""
        entry = self._tickets_by_step.setdefault(step, _StepTickets())
        entry.asked.update(endpoint_ids)
        for endpoint_id, ticket in ticket_by_endpoint.items():
            entry.ticket_by_endpoint[endpoint_id] = ticket
            entry.valid_until_by_endpoint[endpoint_id] = valid_until_ms

    def invalidate(self, step: StepKey, endpoint_id: str) -> None:
        """Invalidates a ticket that an endpoint did not accept."""
        entry = self._tickets_by_step.get(step)
        if entry is not None:
            entry.valid_until_by_endpoint[endpoint_id] = 0

    def discard_job(self, job_id: str) -> None:
        """Discards the requests and tickets of a job."""
        for table in (self.requests, self._tickets_by_step):
            for step in [s for s in table if s.job_id == job_id]:
                del table[step]
