"""Tests the verdicts of requests while hosts, log, endpoints and zones fail.

Each scenario runs on real processes and waits for conditions instead of fixed
times.
"""

import asyncio
import contextlib
import pathlib
import signal

from laburnumgate_standins import trial as trial_module
import pytest

Trial = trial_module.Trial
EXIT_WAIT_S = 20
# Size of libuv's thread pool, which resolves addresses and runs no Python.
LIBUV_THREADS = 4


def _run(scenario) -> None:
    """Runs a scenario on a new installation."""

    async def run_scenario() -> None:
        async with trial_module.running_installation() as trial:
            await scenario(trial)

    asyncio.run(run_scenario())


@pytest.fixture(scope="module")
def run_shared():
    """Runs scenarios that keep all hosts running on a shared installation."""
    with asyncio.Runner() as runner, contextlib.ExitStack() as stack:
        timing = {"endpoint_lost_after_ms": 1_500}
        context = trial_module.running_installation(timing)
        trial = runner.run(context.__aenter__())
        stack.callback(lambda: runner.run(context.__aexit__(None, None, None)))
        yield lambda scenario: runner.run(scenario(trial))


def _mixed_requests(trial: Trial, count: int, work_ms: int = 300) -> list[dict]:
    """Returns requests; every third must not repeat, every fourth is a gang."""
    return [
        trial.request(
            work_ms, idempotent=index % 3 != 0, parts=2 if index % 4 == 0 else 1
        )
        for index in range(count)
    ]


async def _wait_until_running(trial: Trial, host_id: str) -> None:
    async def is_running() -> bool:
        runs = (await trial.state(host_id)).get("runs", ())
        return any(run["phase"] == "running" for run in runs)

    await trial.wait_until(f"{host_id} has a run in phase running", is_running)


async def _wait_until_ready(trial: Trial, host_id: str) -> None:
    async def is_ready() -> bool:
        return (await trial.state(host_id)).get("state") == "ready"

    await trial.wait_until(f"{host_id} is ready", is_ready)


def test_kill_of_placing_and_entry_host_during_load():
    """Guards against lost, repeated or wrongly answered requests.

    The placing hosts of both zones are killed while requests run.
    """

    async def scenario(trial: Trial) -> None:
        placing_id = await trial.find_placing_host("zone-a")
        entry = await trial.find_placing_host("zone-b")
        bodies = _mixed_requests(trial, 18, work_ms=1_000)
        load = asyncio.gather(
            *(trial.outcome(body, trial.host_urls()) for body in bodies)
        )
        await _wait_until_running(trial, placing_id)
        trial.cluster.signal(placing_id, signal.SIGKILL)
        trial.cluster.signal(entry, signal.SIGKILL)
        outcomes = await load
        assert await trial.contradictions(outcomes) == []
        for outcome in outcomes:
            repeatable = outcome.request.get("idempotent", True)
            assert outcome.verdict["kind"] == "ran" or not repeatable, outcome
        for host_id in (placing_id, entry):
            trial.cluster.wait(host_id, EXIT_WAIT_S)
            trial.cluster.start_host(host_id)
            await _wait_until_ready(trial, host_id)

    _run(scenario)


def test_placing_host_paused_past_its_leases():
    """Guards against a paused host continuing launches others took over.

    The host is stopped until its leases have expired and then continued.
    """

    async def scenario(trial: Trial) -> None:
        placing_id = await trial.find_placing_host("zone-a")
        others = [u for u in trial.host_urls() if placing_id not in u]
        others.remove(trial.cluster.hosts_by_id[placing_id].url)
        load = asyncio.gather(
            *(trial.outcome(b, others) for b in _mixed_requests(trial, 12, 500))
        )
        await _wait_until_running(trial, placing_id)
        before = await trial.state(placing_id)
        trial.cluster.signal(placing_id, signal.SIGSTOP)
        await trial.find_placing_host("zone-a", exclude=placing_id)
        outcomes = await load
        # Once this work has ended, every lease of a launch has expired.
        outcomes += await trial.outcomes(_mixed_requests(trial, 4), others)
        trial.cluster.signal(placing_id, signal.SIGCONT)
        await _wait_until_ready(trial, placing_id)
        outcomes += await trial.outcomes(
            _mixed_requests(trial, 4), trial.host_urls()
        )
        assert await trial.contradictions(outcomes) == []
        after = await trial.state(placing_id)
        assert _incarnation(after) > _incarnation(before)

    _run(scenario)


def _incarnation(state: dict) -> int:
    for member in state["members"]:
        if member["host_id"] == state["host_id"]:
            return member["incarnation"]
    raise LookupError(state["host_id"])


def test_sigterm_with_waiting_callers():
    """Guards against dropped long polls and unfinished launches on SIGTERM."""

    async def scenario(trial: Trial) -> None:
        placing_id = await trial.find_placing_host("zone-a")
        url = trial.cluster.hosts_by_id[placing_id].url
        others = [u for u in trial.host_urls() if u != url]
        waiting = [trial.request(4_000) for _ in range(3)]
        for body in waiting:
            await trial.submit(body, [url])
        polls = [
            asyncio.create_task(
                trial.call("GET", f"{url}{_request_path(body)}?wait_ms=30000")
            )
            for body in waiting
        ]
        await _wait_until_running(trial, placing_id)
        load = asyncio.gather(
            *(
                trial.outcome(b, [url, *others])
                for b in _mixed_requests(trial, 9)
            )
        )
        await asyncio.sleep(0)
        trial.cluster.signal(placing_id, signal.SIGTERM)
        for answer in await asyncio.gather(*polls):
            assert answer.status == 200, answer
            assert answer.body["verdict"]["kind"] == "pending"
            assert answer.body["use_another_host"]
        assert (
            await asyncio.to_thread(trial.cluster.wait, placing_id, EXIT_WAIT_S)
            == 0
        )
        outcomes = await load + await trial.outcomes(waiting, others)
        assert await trial.contradictions(outcomes) == []
        # Nothing failed, so a planned stop must not change any outcome.
        assert {outcome.verdict["kind"] for outcome in outcomes} == {"ran"}

    _run(scenario)


def test_sigterm_of_the_placing_host_while_the_log_is_out():
    """Guards against losing work whose records were not yet in the log.

    The host that accepted the work is stopped during an outage of the log.
    """

    async def scenario(trial: Trial) -> None:
        placing_id = await trial.find_placing_host("zone-a")
        url = trial.cluster.hosts_by_id[placing_id].url
        others = [u for u in trial.host_urls("zone-a") if u != url]
        await trial.set_log_faults(down=True)

        async def log_is_unreachable() -> bool:
            states = [await trial.state(h) for h in trial.cluster.hosts_by_id]
            return not any(state["log_reachable"] for state in states)

        await trial.wait_until(
            "every host reports the log as unreachable", log_is_unreachable
        )
        bodies = [trial.request(2_000) for _ in range(4)]
        for body in bodies:
            answer = await trial.submit(body, [url])
            assert answer.body["durability"] == "zone-peers", answer
        await _wait_until_running(trial, placing_id)
        trial.cluster.signal(placing_id, signal.SIGTERM)
        code = await asyncio.to_thread(
            trial.cluster.wait, placing_id, EXIT_WAIT_S
        )
        assert code == 0
        outcomes = await trial.outcomes(bodies, others)
        await trial.set_log_faults(down=False)
        outcomes += await trial.outcomes(_mixed_requests(trial, 6), others)
        assert await trial.contradictions(outcomes) == []
        assert {outcome.verdict["kind"] for outcome in outcomes} == {"ran"}

    _run(scenario)


def _request_path(body: dict) -> str:
    return f"/v1/requests/{body['account']}/{body['request_id']}"


def test_log_down_and_back():
    """Guards against losing work that was accepted during a log outage.

    The accepting host is killed before the log is back, so its peers have to
    append the records.
    """

    async def scenario(trial: Trial) -> None:
        placing_id = await trial.find_placing_host("zone-a")
        await trial.set_log_faults(down=True)

        async def log_is_unreachable() -> bool:
            states = [await trial.state(h) for h in trial.cluster.hosts_by_id]
            return not any(state["log_reachable"] for state in states)

        await trial.wait_until(
            "every host reports the log as unreachable", log_is_unreachable
        )
        entry = next(
            host
            for host in trial.cluster.hosts_by_id.values()
            if host.zone == "zone-a" and host.host_id != placing_id
        )
        once = trial.request(idempotent=False)
        answer = await trial.call("POST", f"{entry.url}/v1/requests", once)
        assert answer.status == 503
        assert answer.body["verdict"]["kind"] == "may_have_run"
        bodies = [trial.request() for _ in range(4)]
        for body in bodies:
            answer = await trial.submit(body, [entry.url])
            assert answer.status == 202
            assert answer.body["durability"] == "zone-peers", answer
        outcomes = await trial.outcomes(bodies, [entry.url])
        last = trial.request(2_000)
        await trial.submit(last, [entry.url])
        trial.cluster.signal(entry.host_id, signal.SIGKILL)
        trial.cluster.wait(entry.host_id, EXIT_WAIT_S)
        await trial.set_log_faults(down=False)
        urls = trial.host_urls("zone-b")

        async def is_recorded() -> bool:
            answer = await trial.call("GET", urls[0] + _request_path(last))
            return answer.status == 200

        await trial.wait_until(
            "the killed host's record is in the log", is_recorded
        )
        outcomes += await trial.outcomes([*bodies, last, once], urls)
        assert await trial.contradictions(outcomes) == []
        assert {outcome.verdict["kind"] for outcome in outcomes} == {"ran"}

    _run(scenario)


def test_lost_answers_of_appends(run_shared):
    """Guards against records that take effect twice or are dropped.

    The log loses the answers of appends that took effect.
    """

    async def scenario(trial: Trial) -> None:
        await trial.set_log_faults(lose_answers=12)
        outcomes = await trial.outcomes(
            _mixed_requests(trial, 12), trial.host_urls()
        )
        assert await trial.contradictions(outcomes) == []
        assert {outcome.verdict["kind"] for outcome in outcomes} == {"ran"}

    run_shared(scenario)


def test_endpoint_unreachable_and_rebooted(run_shared):
    """Guards gangs on an endpoint that stops answering or loses its tasks."""

    async def scenario(trial: Trial) -> None:
        placing_id = await trial.find_placing_host("zone-a")
        bodies = _mixed_requests(trial, 12, work_ms=1_500)
        load = asyncio.gather(
            *(trial.outcome(body, trial.host_urls("zone-a")) for body in bodies)
        )
        await _wait_until_running(trial, placing_id)
        await trial.set_endpoint_faults("zone-a-r1-1", unreachable=True)
        await trial.set_endpoint_faults("zone-a-r1-2", reboot=True)

        async def is_lost() -> bool:
            state = await trial.state(placing_id)
            return state.get("lost_endpoints") == ["zone-a-r1-1"]

        await trial.wait_until("the endpoint is reported as lost", is_lost)
        outcomes = await trial.outcomes(
            [trial.request() for _ in range(4)], trial.host_urls("zone-a")
        )
        await trial.set_endpoint_faults("zone-a-r1-1", unreachable=False)
        outcomes += await load
        outcomes += await trial.outcomes(
            _mixed_requests(trial, 4), trial.host_urls("zone-a")
        )
        assert await trial.contradictions(outcomes) == []
        for outcome in outcomes:
            repeatable = outcome.request.get("idempotent", True)
            assert outcome.verdict["kind"] == "ran" or not repeatable, outcome

    run_shared(scenario)


def test_zone_out_and_in(run_shared):
    """Guards against starts and stuck jobs in a zone that is out of service."""

    async def scenario(trial: Trial) -> None:
        url = trial.host_urls("zone-b")[0]
        # Four requests fill both zones; the queued ones have to move.
        filling = [
            trial.request(2_000, accelerators_per_part=8) for _ in range(4)
        ]
        for body in filling:
            await trial.submit(body, trial.host_urls("zone-a"))
        placing_id = await trial.find_placing_host("zone-a")
        await _wait_until_running(trial, placing_id)
        queued = [trial.request() for _ in range(6)]
        for body in queued:
            await trial.submit(body, trial.host_urls("zone-a"))
        answer = await _set_zone(trial, url, "out")
        assert answer.status == 200
        assert answer.body["not_reached"] == []
        assert (
            "in force at 4 hosts; 0 hosts not reached"
            in (answer.body["summary"])
        )
        started = await trial.started_tasks("zone-a")
        outcomes = await trial.outcomes([*queued, *filling], trial.host_urls())
        outcomes += await trial.outcomes(
            _mixed_requests(trial, 6), trial.host_urls()
        )
        assert await trial.started_tasks("zone-a") == started
        answer = await _set_zone(trial, url, "in")
        assert answer.body["accepted"]

        async def is_back() -> bool:
            bodies = [trial.request() for _ in range(12)]
            outcomes.extend(
                await trial.outcomes(bodies, trial.host_urls("zone-a"))
            )
            return len(await trial.started_tasks("zone-a")) > len(started)

        await trial.wait_until("the zone starts work again", is_back)
        assert await trial.contradictions(outcomes) == []
        assert {outcome.verdict["kind"] for outcome in outcomes} == {"ran"}

    run_shared(scenario)


async def _set_zone(
    trial: Trial, url: str, state: str
) -> trial_module.Response:
    body = {"operator": "ana", "state": state, "wait_ms": 20_000}
    return await trial.call(
        "POST", f"{url}/v1/operator/zones/zone-a/state", body
    )


def test_draining_endpoint_gets_no_work(run_shared):
    """Guards against starts on a draining endpoint."""

    async def scenario(trial: Trial) -> None:
        endpoint = min(trial.cluster.endpoint_urls_by_id)
        url = trial.host_urls("zone-b")[0]
        path = f"{url}/v1/operator/endpoints/{endpoint}/state"
        command = {"operator": "ana", "state": "draining", "wait_ms": 20_000}
        answer = await trial.call("POST", path, command)
        assert answer.status == 200
        assert answer.body["not_reached"] == []
        started = await trial.started_tasks(endpoint)
        # More requests than fit on the zone's other endpoint at once.
        outcomes = await trial.outcomes(
            _mixed_requests(trial, 24), trial.host_urls()
        )
        assert await trial.started_tasks(endpoint) == started
        await trial.call("POST", path, {**command, "state": "active"})

        async def is_back() -> bool:
            bodies = [trial.request() for _ in range(12)]
            outcomes.extend(await trial.outcomes(bodies, trial.host_urls()))
            return len(await trial.started_tasks(endpoint)) > len(started)

        await trial.wait_until(f"{endpoint} gets work again", is_back)
        assert await trial.contradictions(outcomes) == []
        assert {outcome.verdict["kind"] for outcome in outcomes} == {"ran"}

    run_shared(scenario)


def test_direct_stop_of_a_zone_cut_off_from_the_log(run_shared):
    """Guards the direct stop of a zone that cannot reach the log.

    Such a zone does not receive the zone state that takes it out of service.
    """

    async def scenario(trial: Trial) -> None:
        hosts = [
            host.host_id
            for host in trial.cluster.hosts_by_id.values()
            if host.zone == "zone-a"
        ]
        placing_id = await trial.find_placing_host("zone-a")
        await trial.set_log_faults(cut_sources=hosts)
        zone = trial.host_urls("zone-a")
        first = trial.request()
        outcomes = [await trial.outcome(first, zone)]
        # A gang fills the zone; the requests queued behind it must not start.
        # Two single requests might not both start in time: the zone has just
        # returned to service, and its starts ramp up over 10 s.
        filling = [trial.request(4_000, accelerators_per_part=8, parts=2)]
        await trial.submit(filling[0], zone)
        await _wait_until_running(trial, placing_id)
        queued = [trial.request() for _ in range(3)]
        for request in queued:
            await trial.submit(request, zone)
        command = {"operator": "ana", "stopped": True, "wait_ms": 5_000}
        path = "/v1/operator/zones/zone-a/stop"
        answer = await trial.call("POST", zone[0] + path, command)
        assert sorted(answer.body["in_force"]) == hosts
        assert answer.body["not_reached"] == []
        started = await trial.started_tasks("zone-a")
        body = trial.request()
        refused = await trial.call("POST", f"{zone[0]}/v1/requests", body)
        assert refused.status == 503
        assert refused.body["verdict"]["kind"] == "may_have_run"
        outcomes += await trial.outcomes(filling, zone)
        outcomes += await trial.outcomes(
            _mixed_requests(trial, 4), trial.host_urls("zone-b")
        )
        assert await trial.started_tasks("zone-a") == started

        async def all_have_stop() -> bool:
            states = [await trial.state(h) for h in trial.cluster.hosts_by_id]
            return all(state["stops"] for state in states)

        await trial.wait_until(
            "every host has received the stop", all_have_stop
        )
        await trial.set_log_faults(cut_sources=[])
        # A later zone state ends the direct stop at every host.
        answer = await _set_zone(trial, trial.host_urls("zone-b")[0], "in")
        assert answer.body["not_reached"] == []
        for host_id in trial.cluster.hosts_by_id:
            assert (await trial.state(host_id))["stops"] == []
        outcomes += await trial.outcomes([body, *queued], zone)
        assert await trial.contradictions(outcomes) == []
        assert {outcome.verdict["kind"] for outcome in outcomes} == {"ran"}

    run_shared(scenario)


def test_two_operators_race(run_shared):
    """Guards against lost updates when two operators publish at once."""

    async def scenario(trial: Trial) -> None:
        for _ in range(3):
            first, second = (
                trial.host_urls("zone-a")[0],
                trial.host_urls("zone-b")[0],
            )
            answers = await asyncio.gather(
                _set_zone(trial, first, "out"), _set_zone(trial, second, "in")
            )
            assert sorted(a.status for a in answers) in ([200, 409], [200, 200])
            offset = max(a.body.get("offset", 0) for a in answers)

            async def is_applied(offset: int = offset) -> bool:
                states = [
                    await trial.state(h) for h in trial.cluster.hosts_by_id
                ]
                return all(s["config_offset"] >= offset for s in states)

            await trial.wait_until(
                "every host has applied the change", is_applied
            )
            values = []
            for url in trial.host_urls():
                answer = await trial.call("GET", f"{url}/v1/operator/config")
                values.append(answer.body["values"]["zone-state/zone-a"])
            assert values == [values[0]] * len(values)
            winner = max(answers, key=lambda a: a.body.get("offset", 0))
            assert values[0]["revision"] == winner.body["offset"]

    run_shared(scenario)


def test_wave_of_cancellations(run_shared):
    """Guards against a blocked event loop and dropped cancellations."""

    async def scenario(trial: Trial) -> None:
        urls = trial.host_urls()
        bodies = [
            trial.request(60_000, idempotent=index % 2 == 0)
            for index in range(400)
        ]
        await asyncio.gather(*(trial.submit(b, urls[:1]) for b in bodies))
        cancellations = asyncio.gather(
            *(trial.call("DELETE", urls[0] + _request_path(b)) for b in bodies)
        )
        for answer in await cancellations:
            assert answer.status in (200, 503), answer
            assert "verdict" in answer.body
        for body in bodies:
            answer = await trial.call("DELETE", urls[0] + _request_path(body))
            assert answer.status == 200, answer
        outcomes = await trial.outcomes(bodies, urls)
        assert await trial.contradictions(outcomes) == []
        # A zone that is cut off may start an idempotent job unnoticed, so
        # cancelling gives "not run" only for the 200 non-idempotent jobs. At
        # most 16 of these fit on the endpoints at a time.
        kinds = [outcome.verdict["kind"] for outcome in outcomes]
        assert set(kinds) <= {"not_run", "ran_failed", "may_have_run"}
        assert kinds.count("not_run") >= 100
        for host_id in trial.cluster.hosts_by_id:
            pid = trial.cluster.processes_by_name[host_id].pid
            threads = list(pathlib.Path(f"/proc/{pid}/task").iterdir())
            assert len(threads) <= 1 + LIBUV_THREADS, threads
            children = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
            assert children.read_text() == ""

    run_shared(scenario)
