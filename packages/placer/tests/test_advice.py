"""Tests of requesting, caching and using tickets."""

import asyncio

import builders
from laburnumgate_placer import advice
from laburnumgate_placer import advice_client
from laburnumgate_placer import lifecycle
from laburnumgate_placer import ports
from laburnumgate_placer import scheduling

_STEP = advice.StepKey("a" * 16, 0, 0)
_ADVISED = builders.replace(builders.QUEUE, advised=True)


def test_a_unit_starts_only_where_it_has_a_valid_ticket():
    """Guards against a start that is refused because it has no ticket."""
    tables = builders.tables(_ADVISED)
    for endpoint_id in ("e1", "e2"):
        builders.add_endpoint(tables, endpoint_id)
    job = builders.job("a" * 16, builders.step(gpu=8), queue=_ADVISED)
    entry = lifecycle.open_job(tables, job)
    scheduler = scheduling.Scheduler(tables)
    scheduler.run()
    assert not entry.runs()
    asked = tables.advice.requests.pop(_STEP)
    assert set(asked) == {"e1", "e2"}
    now_ms = tables.monotonic.now_ms()
    tables.advice.add_tickets(_STEP, asked, {"e2": "t2"}, now_ms + 3_000)
    scheduler.run()
    (run,) = entry.runs()
    assert [m.endpoint_id for m in run.members] == ["e2"]
    assert run.tickets_by_endpoint["e2"] == "t2"


def test_an_expired_ticket_is_asked_for_again_and_a_refusal_is_not():
    """Guards against expired tickets and repeated requests after a refusal."""
    table = advice.AdviceTable()
    table.request(_STEP, ["e1", "e2"], 0)
    table.add_tickets(_STEP, table.requests.pop(_STEP), {"e1": "t"}, 3_000)
    table.request(_STEP, ["e1", "e2"], 100)
    assert not table.requests
    late_ms = 3_000 - advice.TICKET_MARGIN_MS
    assert not table.tickets(_STEP, late_ms)
    table.request(_STEP, ["e1", "e2"], late_ms)
    assert table.requests[_STEP] == ("e1",)


def test_a_question_is_bounded():
    """Guards against requests whose answer takes seconds."""
    table = advice.AdviceTable()
    table.request(_STEP, [f"e{n}" for n in range(100)], 0)
    assert len(table.requests[_STEP]) == advice.MAX_ENDPOINTS_PER_REQUEST


def test_a_request_that_takes_long_is_answered_in_the_end():
    """Guards against a step that is asked about for ever.

    The service takes time for each endpoint that a request names.
    """

    class SlowAdvisor:
        def __init__(self):
            self.timeouts_ms = []

        async def ask(self, *step, timeout_ms):
            self.timeouts_ms.append(timeout_ms)
            if timeout_ms < 10_000:
                return ports.Unknown("no answer in time")
            return ports.Advice({"e1": "ticket"}, 60_000)

    async def work():
        tables = builders.tables()
        step = _STEP
        advisor = SlowAdvisor()
        task = asyncio.create_task(advice_client.run(advisor, tables))
        for _ in range(4):
            tables.advice.requests[step] = ("e1",)
            while step in tables.advice.requests:
                await asyncio.sleep(0.01)
        task.cancel()
        assert advisor.timeouts_ms == [3_000, 6_000, 12_000, 3_000]

    builders.run(work())
