"""Tests of the endpoint client: lost responses, late calls and limits."""

import asyncio

from laburnumgate_core import actions
from laburnumgate_core import clock
from laburnumgate_host import endpoints


class FakeClient(endpoints.EndpointClient):
    """Records calls and returns prepared responses."""

    def __init__(self, *answers: endpoints.Response):
        self.time = clock.ManualClock(1_000)
        super().__init__(None, "h", 2_000, self.time)
        self.answers = list(answers)
        self.calls: list[tuple[str, dict]] = []
        self.open_calls = 0
        self.max_open = 0

    async def _call(
        self, method, endpoint_id, path, body, extra_timeout_ms=0, timeout_ms=0
    ):
        self.calls.append((path, body))
        self.open_calls += 1
        self.max_open = max(self.max_open, self.open_calls)
        await asyncio.sleep(0)
        self.open_calls -= 1
        return self.answers.pop(0) if self.answers else LOST


LOST = endpoints.Response(0, None, "lost")
STOPPED = endpoints.Response(200, {"state": "stopped", "checkpoint": ""})


def resume(task: int = 0, **fields) -> actions.ResumePart:
    return actions.ResumePart("e", f"a/r/1/{task}", 3_000, **fields)


def test_a_lost_stop_is_repeated_once_and_a_lost_lease_is_not():
    """A retried lease request would be refused because of its own lease."""
    client = FakeClient(LOST, STOPPED)
    stop = actions.StopPart("e", "a/r/1/0")
    answer = asyncio.run(client.execute(stop))
    assert answer.state == "stopped"
    lease = actions.TakeLease("a/r", "e", 5_000, 7)
    refused = asyncio.run(client.execute(lease))
    assert refused == actions.LeaseRefused("a/r", "e", "lost", 7)
    assert len(client.calls) == 3


def test_retries_end_with_the_budget():
    """Unlimited retries would double the load on a failing zone."""
    client = FakeClient()
    stop = actions.StopPart("e", "a/r/1/0")
    for _ in range(100):
        asyncio.run(client.execute(stop))
    # The budget starts with 10 retries and gains 10% of the calls.
    assert len(client.calls) <= 100 + 10 + 10


def test_calls_that_start_work_are_not_sent_after_their_time():
    """A host that was paused before sending must not resume a part."""
    client = FakeClient()
    late = resume(send_before_ms=1_000, until_ms=4_000)
    assert asyncio.run(client.execute(late)).state == "refused"
    past = resume(send_before_ms=9_000, until_ms=1_050)
    assert asyncio.run(client.execute(past)).state == "refused"
    assert client.calls == []


def test_a_resume_asks_for_no_lease_beyond_its_step():
    """A delayed resume must not outlast the other parts of the gang."""
    client = FakeClient()
    asyncio.run(client.execute(resume(until_ms=2_500)))
    assert client.calls[0][1]["lease_ms"] == 1_500
    assert len(client.calls) == 1


def test_a_large_gang_opens_a_bounded_number_of_calls():
    """Launching a gang of 512 parts must not open 512 connections at once."""
    client = FakeClient()

    async def launch() -> None:
        work = [client.execute(resume(task)) for task in range(512)]
        await asyncio.gather(*work)

    asyncio.run(launch())
    assert len(client.calls) == 512
    assert client.max_open <= endpoints.MAX_LAUNCH_CALLS


def test_statuses_map_to_states():
    """A refusal must not be treated as a lost response, or vice versa."""
    expected = {404: "absent", 409: "refused", 507: "refused", 400: "refused"}
    expected |= {0: "unknown", 503: "unknown", 504: "unknown"}
    for status, state in expected.items():
        client = FakeClient(*[endpoints.Response(status, None)] * 2)
        stop = actions.StopPart("e", "a/r/1/0")
        assert asyncio.run(client.execute(stop)).state == state
