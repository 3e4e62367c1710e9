"""Scenarios for the outcomes that operators and callers read."""

import json

from laburnumgate_core import config
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import requests
from laburnumgate_core import verdict
import pytest
import pytest_bdd

pytest_bdd.scenarios("features/state.feature")
DAY_MS = 24 * 3_600_000
OUT = (records.Change("zone-state/z", {"state": "out"}, 0),)


class World:
    """Two hosts that read one log."""

    def __init__(self):
        self.configs = [config.ConfigTable(), config.ConfigTable()]
        self.jobs = [jobs.JobTable(), jobs.JobTable()]
        self.applied: tuple[bool, ...] = ()

    def publish(self, operator: str) -> None:
        publication = records.Publication(operator, operator, 1, OUT)
        data = records.encode_publication(publication)
        for table in self.configs:
            entry = records.Entry(table.offset + 1, operator, data)
            table.apply_entry(entry)

    def append(self, record: records.JobRecord) -> None:
        data = records.encode_jobs((record,))
        for table in self.jobs:
            offset = table.offset + 1
            self.applied = table.apply_entry(
                records.Entry(offset, f"e{offset}", data)
            )


def submitted(number: int, at_ms: int) -> records.Submitted:
    spec = model.JobSpec("k", 1, 1, 1, idempotent=False)
    return records.Submitted(
        f"a/{number}", "a", spec, "z", "h", at_ms, at_ms, 0
    )


@pytest.fixture
def world() -> World:
    return World()


@pytest_bdd.given("a zone that is in service")
def in_service(world):
    assert all(table.zone_in_service("z") for table in world.configs)


@pytest_bdd.when("Ana and Binh both take the zone out from the same revision")
def race(world):
    world.publish("ana")
    world.publish("binh")


@pytest_bdd.then("Ana reads that her change is in force")
def first_wins(world):
    for table in world.configs:
        assert table.outcomes_by_change_id["ana"] == config.Accepted(1)


@pytest_bdd.then("Binh reads the current revision as a conflict")
def second_loses(world):
    for table in world.configs:
        outcome = table.outcomes_by_change_id["binh"]
        assert outcome.conflict
        assert outcome.reason == "zone-state/z is at revision 1, not 0"


@pytest_bdd.then("every host has the zone out of service")
def out(world):
    assert not any(table.zone_in_service("z") for table in world.configs)


@pytest_bdd.given("a request that ran and ended")
def ended(world):
    world.append(submitted(1, 1_000))
    world.append(records.Starting("a/1", 1, "z", ("e",), ("b",), 1_000))
    world.append(records.Ended("a/1", 1, verdict.Ran(("first",)), 1_000))


@pytest_bdd.when("the same id is submitted through another host")
def again(world):
    world.append(submitted(1, 2_000))


@pytest_bdd.then("the caller reads the first answer")
def first_answer(world):
    assert world.applied == (False,)
    for table in world.jobs:
        assert table.get("a/1").outcome == verdict.Ran(("first",))


@pytest_bdd.when("the id was forgotten and is submitted again")
def forgotten(world):
    step_ms = jobs.MAX_STEP_MS
    for number in range(2, DAY_MS // step_ms + 3):
        world.append(submitted(number, number * step_ms))
    assert world.jobs[0].get("a/1") is None
    world.append(submitted(1, 1_000))


@pytest_bdd.then("the request may have run and is not accepted")
def not_accepted(world):
    body = {"request_id": "1", "account": "a", "issued_at_ms": 1_000}
    request = requests.parse(json.dumps(body).encode())
    for table in world.jobs:
        assert table.get("a/1") is None
        reason = requests.window_violation(
            request, table.forgotten_until_ms, DAY_MS
        )
        assert "may have been used" in reason
    body["idempotent"] = False
    del body["issued_at_ms"]
    missing = requests.parse(json.dumps(body).encode())
    assert missing == requests.Malformed(requests.MISSING_ISSUE_TIME)
