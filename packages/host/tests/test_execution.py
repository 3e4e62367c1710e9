"""Tests how the scheduler's records are appended during a log outage."""

import asyncio
import types

from laburnumgate_core import actions
from laburnumgate_core import jobs
from laburnumgate_core import records
from laburnumgate_host import execution
from laburnumgate_host import metrics


class _Journal:
    def __init__(self, reachable: bool):
        self.reachable = reachable
        self.appended: list[tuple[records.JobRecord, bool]] = []

    async def append(self, record, provisional):
        self.appended.append((record, provisional))
        return actions.Appended(record, applied=True)


async def _execute_move(reachable: bool) -> _Journal:
    journal = _Journal(reachable)
    loop = asyncio.get_running_loop()
    done = []

    def on_result(result):
        done.append(result)
        return []

    runner = execution.ActionExecutor(
        types.SimpleNamespace(),
        journal,
        jobs.JobTable(),
        types.SimpleNamespace(active=True, on=on_result),
        metrics.Metrics(),
        loop.create_task,
        lambda: None,
        lambda job_id: None,
    )
    moved = records.Moved("a/r", "zone-a", "zone-b", 1)
    runner.execute([actions.Append(moved)])
    while not done:
        await asyncio.sleep(0)
    return journal


def test_no_job_moves_to_a_zone_that_cannot_learn_of_it():
    """A provisional move would leave the job without a placing host.

    The other zone receives the job only through the log, so the job would wait
    until the outage ends. Found in test_log_down_and_back.
    """
    assert asyncio.run(_execute_move(reachable=False)).appended == []
    journal = asyncio.run(_execute_move(reachable=True))
    assert [provisional for _, provisional in journal.appended] == [False]
