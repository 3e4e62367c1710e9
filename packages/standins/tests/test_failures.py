"""Guards what callers are told while hosts, log, endpoints and zones fail.

Each scenario runs on real processes and waits on conditions.
"""

import asyncio
import contextlib
import pathlib
import signal

from laburnumgate_standins import trial as trial_module
import pytest

Trial = trial_module.Trial
EXIT_WAIT_S = 20
# The pool of the event loop's library resolves addresses and runs no Python.
LIBUV_THREADS = 4


def _run(scenario) -> None:
    """Runs a scenario on an installation of its own."""

    async def alone() -> None:
        async with trial_module.running() as trial:
            await scenario(trial)

    asyncio.run(alone())


@pytest.fixture(scope="module")
def run_shared():
    """Runs scenarios that leave every host running, on one installation."""
    with asyncio.Runner() as runner, contextlib.ExitStack() as stack:
        timing = {"endpoint_lost_after_ms": 1_500}
        context = trial_module.running(timing)
        trial = runner.run(context.__aenter__())
        stack.callback(lambda: runner.run(context.__aexit__(None, None, None)))
        yield lambda scenario: runner.run(scenario(trial))


def _mixed(trial: Trial, count: int, work_ms: int = 300) -> list[dict]:
    """Every third request must not run twice; every fourth is a gang."""
    return [
        trial.request(
            work_ms, idempotent=index % 3 != 0, parts=2 if index % 4 == 0 else 1
        )
        for index in range(count)
    ]


async def _running(trial: Trial, host_id: str) -> None:
    async def has_run() -> bool:
        runs = (await trial.state(host_id)).get("runs", ())
        return any(run["phase"] == "running" for run in runs)

    await trial.until(f"{host_id} runs something", has_run)


async def _ready(trial: Trial, host_id: str) -> None:
    async def is_ready() -> bool:
        return (await trial.state(host_id)).get("state") == "ready"

    await trial.until(f"{host_id} is ready", is_ready)


def test_kill_of_placing_and_entry_host_during_load():
    """Guards requests whose hosts die: lost, doubled or wrongly answered."""

    async def scenario(trial: Trial) -> None:
        placing = await trial.placing("zone-a")
        entry = await trial.placing("zone-b")
        bodies = _mixed(trial, 18, work_ms=1_000)
        load = asyncio.gather(
            *(trial.outcome(body, trial.urls()) for body in bodies)
        )
        await _running(trial, placing)
        trial.cluster.signal(placing, signal.SIGKILL)
        trial.cluster.signal(entry, signal.SIGKILL)
        told = await load
        assert await trial.wrong(told) == []
        for one in told:
            repeatable = one.request.get("idempotent", True)
            assert one.verdict["kind"] == "ran" or not repeatable, one
        for host_id in (placing, entry):
            trial.cluster.wait(host_id, EXIT_WAIT_S)
            trial.cluster.start_host(host_id)
            await _ready(trial, host_id)

    _run(scenario)


def test_placing_host_paused_past_its_leases():
    """Guards a resumed host that goes on with launches others took over."""

    async def scenario(trial: Trial) -> None:
        placing = await trial.placing("zone-a")
        others = [u for u in trial.urls() if placing not in u]
        others.remove(trial.cluster.hosts_by_id[placing].url)
        load = asyncio.gather(
            *(trial.outcome(b, others) for b in _mixed(trial, 12, 500))
        )
        await _running(trial, placing)
        before = await trial.state(placing)
        trial.cluster.signal(placing, signal.SIGSTOP)
        await trial.placing("zone-a", but=placing)
        told = await load
        # Work after the pause is known to be past every lease of a launch.
        told += await trial.outcomes(_mixed(trial, 4), others)
        trial.cluster.signal(placing, signal.SIGCONT)
        await _ready(trial, placing)
        told += await trial.outcomes(_mixed(trial, 4), trial.urls())
        assert await trial.wrong(told) == []
        after = await trial.state(placing)
        assert _incarnation(after) > _incarnation(before)

    _run(scenario)


def _incarnation(state: dict) -> int:
    for member in state["members"]:
        if member["host_id"] == state["host_id"]:
            return member["incarnation"]
    raise LookupError(state["host_id"])


def test_sigterm_with_waiting_callers():
    """Guards callers who are cut off, and launches that are left half done."""

    async def scenario(trial: Trial) -> None:
        placing = await trial.placing("zone-a")
        url = trial.cluster.hosts_by_id[placing].url
        others = [u for u in trial.urls() if u != url]
        waiting = [trial.request(4_000) for _ in range(3)]
        for body in waiting:
            await trial.submit(body, [url])
        polls = [
            asyncio.create_task(
                trial.call("GET", f"{url}{_path(body)}?wait_ms=30000")
            )
            for body in waiting
        ]
        await _running(trial, placing)
        load = asyncio.gather(
            *(trial.outcome(b, [url, *others]) for b in _mixed(trial, 9))
        )
        await asyncio.sleep(0)
        trial.cluster.signal(placing, signal.SIGTERM)
        for answer in await asyncio.gather(*polls):
            assert answer.status == 200, answer
            assert answer.body["verdict"]["kind"] == "pending"
            assert answer.body["use_another_host"]
        assert (
            await asyncio.to_thread(trial.cluster.wait, placing, EXIT_WAIT_S)
            == 0
        )
        told = await load + await trial.outcomes(waiting, others)
        assert await trial.wrong(told) == []
        # Nothing failed, so a planned stop must cost no request its outcome.
        assert {one.verdict["kind"] for one in told} == {"ran"}

    _run(scenario)


def test_sigterm_of_the_placing_host_while_the_log_is_out():
    """Guards provisional work of a host that is replaced in an outage."""

    async def scenario(trial: Trial) -> None:
        placing = await trial.placing("zone-a")
        url = trial.cluster.hosts_by_id[placing].url
        others = [u for u in trial.urls("zone-a") if u != url]
        await trial.log_faults(down=True)

        async def is_out() -> bool:
            states = [await trial.state(h) for h in trial.cluster.hosts_by_id]
            return not any(state["log_reachable"] for state in states)

        await trial.until("every host finds the log out", is_out)
        bodies = [trial.request(2_000) for _ in range(4)]
        for body in bodies:
            answer = await trial.submit(body, [url])
            assert answer.body["durability"] == "zone-peers", answer
        await _running(trial, placing)
        trial.cluster.signal(placing, signal.SIGTERM)
        code = await asyncio.to_thread(trial.cluster.wait, placing, EXIT_WAIT_S)
        assert code == 0
        told = await trial.outcomes(bodies, others)
        await trial.log_faults(down=False)
        told += await trial.outcomes(_mixed(trial, 6), others)
        assert await trial.wrong(told) == []
        assert {one.verdict["kind"] for one in told} == {"ran"}

    _run(scenario)


def _path(body: dict) -> str:
    return f"/v1/requests/{body['account']}/{body['request_id']}"


def test_log_down_and_back():
    """Guards work accepted while the log is out, and its host dying then."""

    async def scenario(trial: Trial) -> None:
        placing = await trial.placing("zone-a")
        await trial.log_faults(down=True)

        async def is_out() -> bool:
            states = [await trial.state(h) for h in trial.cluster.hosts_by_id]
            return not any(state["log_reachable"] for state in states)

        await trial.until("every host finds the log out", is_out)
        entry = next(
            host
            for host in trial.cluster.hosts_by_id.values()
            if host.zone == "zone-a" and host.host_id != placing
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
        told = await trial.outcomes(bodies, [entry.url])
        last = trial.request(2_000)
        await trial.submit(last, [entry.url])
        trial.cluster.signal(entry.host_id, signal.SIGKILL)
        trial.cluster.wait(entry.host_id, EXIT_WAIT_S)
        await trial.log_faults(down=False)
        urls = trial.urls("zone-b")

        async def is_known() -> bool:
            answer = await trial.call("GET", urls[0] + _path(last))
            return answer.status == 200

        await trial.until("the log has the dead host's record", is_known)
        told += await trial.outcomes([*bodies, last, once], urls)
        assert await trial.wrong(told) == []
        assert {one.verdict["kind"] for one in told} == {"ran"}

    _run(scenario)


def test_lost_answers_of_appends(run_shared):
    """Guards records that are appended twice or given up."""

    async def scenario(trial: Trial) -> None:
        await trial.log_faults(lose_answers=12)
        told = await trial.outcomes(_mixed(trial, 12), trial.urls())
        assert await trial.wrong(told) == []
        assert {one.verdict["kind"] for one in told} == {"ran"}

    run_shared(scenario)


def test_endpoint_unreachable_and_rebooted(run_shared):
    """Guards gangs whose endpoint goes silent or forgets its tasks."""

    async def scenario(trial: Trial) -> None:
        placing = await trial.placing("zone-a")
        bodies = _mixed(trial, 12, work_ms=1_500)
        load = asyncio.gather(
            *(trial.outcome(body, trial.urls("zone-a")) for body in bodies)
        )
        await _running(trial, placing)
        await trial.endpoint_faults("zone-a-r1-1", unreachable=True)
        await trial.endpoint_faults("zone-a-r1-2", reboot=True)

        async def is_lost() -> bool:
            state = await trial.state(placing)
            return state.get("lost_endpoints") == ["zone-a-r1-1"]

        await trial.until("the endpoint is found lost", is_lost)
        told = await trial.outcomes(
            [trial.request() for _ in range(4)], trial.urls("zone-a")
        )
        await trial.endpoint_faults("zone-a-r1-1", unreachable=False)
        told += await load
        told += await trial.outcomes(_mixed(trial, 4), trial.urls("zone-a"))
        assert await trial.wrong(told) == []
        for one in told:
            repeatable = one.request.get("idempotent", True)
            assert one.verdict["kind"] == "ran" or not repeatable, one

    run_shared(scenario)


def test_zone_out_and_in(run_shared):
    """Guards starts in a zone that is out, and jobs that stay there."""

    async def scenario(trial: Trial) -> None:
        url = trial.urls("zone-b")[0]
        # Four requests fill both zones; those behind them have to move.
        filling = [
            trial.request(2_000, accelerators_per_part=8) for _ in range(4)
        ]
        for body in filling:
            await trial.submit(body, trial.urls("zone-a"))
        placing = await trial.placing("zone-a")
        await _running(trial, placing)
        behind = [trial.request() for _ in range(6)]
        for body in behind:
            await trial.submit(body, trial.urls("zone-a"))
        answer = await _set_zone(trial, url, "out")
        assert answer.status == 200
        assert answer.body["not_reached"] == []
        assert (
            "in force at 4 hosts; 0 hosts not reached"
            in (answer.body["summary"])
        )
        started = await trial.resumed("zone-a")
        told = await trial.outcomes([*behind, *filling], trial.urls())
        told += await trial.outcomes(_mixed(trial, 6), trial.urls())
        assert await trial.resumed("zone-a") == started
        answer = await _set_zone(trial, url, "in")
        assert answer.body["accepted"]

        async def is_back() -> bool:
            bodies = [trial.request() for _ in range(12)]
            told.extend(await trial.outcomes(bodies, trial.urls("zone-a")))
            return len(await trial.resumed("zone-a")) > len(started)

        await trial.until("the zone starts work again", is_back)
        assert await trial.wrong(told) == []
        assert {one.verdict["kind"] for one in told} == {"ran"}

    run_shared(scenario)


async def _set_zone(trial: Trial, url: str, state: str) -> trial_module.Answer:
    body = {"operator": "ana", "state": state, "wait_ms": 20_000}
    return await trial.call(
        "POST", f"{url}/v1/operator/zones/zone-a/state", body
    )


def test_draining_endpoint_gets_no_work(run_shared):
    """Guards starts on an endpoint that is about to be taken away."""

    async def scenario(trial: Trial) -> None:
        endpoint = min(trial.cluster.endpoint_urls_by_id)
        url = trial.urls("zone-b")[0]
        path = f"{url}/v1/operator/endpoints/{endpoint}/state"
        order = {"operator": "ana", "state": "draining", "wait_ms": 20_000}
        answer = await trial.call("POST", path, order)
        assert answer.status == 200
        assert answer.body["not_reached"] == []
        started = await trial.resumed(endpoint)
        # More than the zone's other endpoint holds at once.
        told = await trial.outcomes(_mixed(trial, 24), trial.urls())
        assert await trial.resumed(endpoint) == started
        await trial.call("POST", path, {**order, "state": "active"})

        async def is_back() -> bool:
            bodies = [trial.request() for _ in range(12)]
            told.extend(await trial.outcomes(bodies, trial.urls()))
            return len(await trial.resumed(endpoint)) > len(started)

        await trial.until(f"{endpoint} gets work again", is_back)
        assert await trial.wrong(told) == []
        assert {one.verdict["kind"] for one in told} == {"ran"}

    run_shared(scenario)


def test_direct_stop_of_a_zone_cut_off_from_the_log(run_shared):
    """Guards a zone that cannot learn from the log that it is out."""

    async def scenario(trial: Trial) -> None:
        hosts = [
            host.host_id
            for host in trial.cluster.hosts_by_id.values()
            if host.zone == "zone-a"
        ]
        placing = await trial.placing("zone-a")
        await trial.log_faults(cut_sources=hosts)
        zone = trial.urls("zone-a")
        first = trial.request()
        told = [await trial.outcome(first, zone)]
        # A gang fills the zone; the requests behind it must not start. Two
        # single requests would not do, since the zone has just returned and
        # starts of a returned zone grow over 10 s.
        filling = [trial.request(4_000, accelerators_per_part=8, parts=2)]
        await trial.submit(filling[0], zone)
        await _running(trial, placing)
        behind = [trial.request() for _ in range(3)]
        for request in behind:
            await trial.submit(request, zone)
        order = {"operator": "ana", "stopped": True, "wait_ms": 5_000}
        path = "/v1/operator/zones/zone-a/stop"
        answer = await trial.call("POST", zone[0] + path, order)
        assert sorted(answer.body["in_force"]) == hosts
        assert answer.body["not_reached"] == []
        started = await trial.resumed("zone-a")
        body = trial.request()
        refused = await trial.call("POST", f"{zone[0]}/v1/requests", body)
        assert refused.status == 503
        assert refused.body["verdict"]["kind"] == "may_have_run"
        told += await trial.outcomes(filling, zone)
        told += await trial.outcomes(_mixed(trial, 4), trial.urls("zone-b"))
        assert await trial.resumed("zone-a") == started

        async def others_know() -> bool:
            states = [await trial.state(h) for h in trial.cluster.hosts_by_id]
            return all(state["stops"] for state in states)

        await trial.until("heartbeats carry the stop on", others_know)
        await trial.log_faults(cut_sources=[])
        # A later zone state ends the direct stop at every host.
        answer = await _set_zone(trial, trial.urls("zone-b")[0], "in")
        assert answer.body["not_reached"] == []
        for host_id in trial.cluster.hosts_by_id:
            assert (await trial.state(host_id))["stops"] == []
        told += await trial.outcomes([body, *behind], zone)
        assert await trial.wrong(told) == []
        assert {one.verdict["kind"] for one in told} == {"ran"}

    run_shared(scenario)


def test_two_operators_race(run_shared):
    """Guards a change that is lost because another came first."""

    async def scenario(trial: Trial) -> None:
        for _ in range(3):
            first, second = trial.urls("zone-a")[0], trial.urls("zone-b")[0]
            answers = await asyncio.gather(
                _set_zone(trial, first, "out"), _set_zone(trial, second, "in")
            )
            assert sorted(a.status for a in answers) in ([200, 409], [200, 200])
            offset = max(a.body.get("offset", 0) for a in answers)

            async def is_everywhere(offset: int = offset) -> bool:
                states = [
                    await trial.state(h) for h in trial.cluster.hosts_by_id
                ]
                return all(s["config_offset"] >= offset for s in states)

            await trial.until("the change is everywhere", is_everywhere)
            values = []
            for url in trial.urls():
                answer = await trial.call("GET", f"{url}/v1/operator/config")
                values.append(answer.body["values"]["zone-state/zone-a"])
            assert values == [values[0]] * len(values)
            winner = max(answers, key=lambda a: a.body.get("offset", 0))
            assert values[0]["revision"] == winner.body["offset"]

    run_shared(scenario)


def test_wave_of_cancellations(run_shared):
    """Guards a loop that is blocked, and cancellations that are dropped."""

    async def scenario(trial: Trial) -> None:
        urls = trial.urls()
        bodies = [
            trial.request(60_000, idempotent=index % 2 == 0)
            for index in range(400)
        ]
        await asyncio.gather(*(trial.submit(b, urls[:1]) for b in bodies))
        wave = asyncio.gather(
            *(trial.call("DELETE", urls[0] + _path(b)) for b in bodies)
        )
        for answer in await wave:
            assert answer.status in (200, 503), answer
            assert "verdict" in answer.body
        for body in bodies:
            answer = await trial.call("DELETE", urls[0] + _path(body))
            assert answer.status == 200, answer
        told = await trial.outcomes(bodies, urls)
        assert await trial.wrong(told) == []
        # A zone that is cut off may start an idempotent job unseen, so only
        # of the others a cancellation can say that they have not run. At most
        # 16 of the 200 fit on the endpoints at a time.
        kinds = [one.verdict["kind"] for one in told]
        assert set(kinds) <= {"not_run", "ran_failed", "may_have_run"}
        assert kinds.count("not_run") >= 100
        for host_id in trial.cluster.hosts_by_id:
            pid = trial.cluster.processes_by_name[host_id].pid
            threads = list(pathlib.Path(f"/proc/{pid}/task").iterdir())
            assert len(threads) <= 1 + LIBUV_THREADS, threads
            children = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
            assert children.read_text() == ""

    run_shared(scenario)
