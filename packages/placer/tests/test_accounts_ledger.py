"""State machine over the usage ledger, the limits and the lifecycle of runs.

Passes, records, orders, lost answers, late orders, reports, stops, lapsed
leases, restarts of endpoints, changes of the leader and of the configuration
happen in any order. The endpoints are models of what the platform promises:
leases, fencing tokens, and no run after its stop. What they truly run, or may
still start, is compared with the ledger.
"""

import dataclasses

import builders
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
from laburnumgate_core import clock
from laburnumgate_placer import call_gate
from laburnumgate_placer import config_table
from laburnumgate_placer import job_table
from laburnumgate_placer import launcher
from laburnumgate_placer import lifecycle
from laburnumgate_placer import limits as limits_module
from laburnumgate_placer import live_list
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import progress
from laburnumgate_placer import reports
from laburnumgate_placer import scheduling
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer import watcher

_URGENT = model.Queue(
    "urgent", "h.example", "/urgent/", "pool", 0, attempts=9, stretch=3.0
)
_BATCH = model.Queue(
    "batch", "h.example", "/batch/", "pool", 2, attempts=9, stretch=30.0
)
_ACCOUNTS = ("mina", "lena")
_NODES = 3
_NODE = st.integers(0, _NODES - 1)
_PICK = st.integers(0, 11)
_FATES = st.lists(
    st.sampled_from(["done", "done", "unanswered", "late", "refused"]),
    min_size=4,
    max_size=4,
)
_BOUNDS = limits_module.Bounds(max_lease_ms=3_000)
_ANY_MS = st.sampled_from([1, 20, 150, 700, 3_000, 5_000])


@dataclasses.dataclass(eq=False)
class _Node:
    """What an endpoint truly does.

    Attributes:
      cut: whether nothing reaches it.
      rate: rate of its clock.
      lease: end of its lease on its own clock.
      stopped: highest run of each task that ended or was stopped there.
      asked: time and content of a report that was not read yet.
    """

    endpoint_id: str
    machine: str
    born_ms: int
    booted_ms: int
    rate: float
    cut: bool = False
    token: int = 0
    lease: int = 0
    running: dict = dataclasses.field(default_factory=dict)
    stopped: dict = dataclasses.field(default_factory=dict)
    ended: list = dataclasses.field(default_factory=list)
    next_end: int = 1
    asked: tuple | None = None

    def clock_ms(self, now_ms) -> int:
        return int((now_ms - self.booted_ms) * self.rate)

    def extend(self, deadline_ms, now_ms) -> None:
        # A deadline may be meant for an earlier life, with another clock.
        longest_ms = self.clock_ms(now_ms) + _BOUNDS.max_lease_ms
        self.lease = max(self.lease, min(deadline_ms, longest_ms))

    def end(self, key, kind) -> None:
        if self.running.pop(key, None) is None:
            return
        task, run = key
        self.stopped[task] = max(run, self.stopped.get(task, 0))
        self.ended.append(model.ReportedEnd(self.next_end, task, run, kind, ""))
        self.next_end += 1

    def accepts(self, order, now_ms) -> bool:
        return (
            order.endpoint_id == self.endpoint_id
            and order.token >= self.token
            and order.deadline_ms > self.clock_ms(now_ms)
            and order.key not in self.running
            and self.stopped.get(order.key[0], 0) < order.key[1]
        )

    def start(self, order, now_ms) -> None:
        if not self.accepts(order, now_ms):
            return
        self.token = order.token
        self.extend(order.deadline_ms, now_ms)
        self.running[order.key] = order.room

    def stop(self, key, token) -> None:
        self.token = max(self.token, token)
        self.end(key, model.EndKind.STOPPED)
        self.stopped[key[0]] = max(key[1], self.stopped.get(key[0], 0))

    def restart(self, now_ms, endpoint_id) -> None:
        self.endpoint_id = endpoint_id
        self.born_ms = now_ms
        self.booted_ms = now_ms
        self.token = self.lease = 0
        self.running.clear()
        self.stopped.clear()
        self.ended.clear()
        self.next_end = 1
        self.asked = None


@dataclasses.dataclass(frozen=True)
class _Order:
    """A start order; its answer, or itself, may be on its way for long."""

    endpoint_id: str
    key: tuple
    token: int
    deadline_ms: int
    room: model.Resources


class _Stops:
    """Implements the stops of `ports.Endpoints` on the nodes."""

    def __init__(self, nodes):
        self._nodes = nodes

    async def stop(self, endpoint, task, run, fencing_token, *, timeout_ms):
        for node in self._nodes:
            if node.endpoint_id != endpoint.endpoint_id or node.cut:
                continue
            node.stop((task, run), fencing_token)
            return ports.Done(0)
        return ports.Unknown("cut")


def _drive(coroutine):
    """Runs a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the coroutine waits")


class Ledger(stateful.RuleBasedStateMachine):
    """One leader at a time, three endpoints and two accounts with limits."""

    def __init__(self):
        super().__init__()
        self.monotonic = clock.ManualClock(100_000)
        self.wall = clock.ManualClock(1_000_000)
        self.nodes = [
            _Node(f"e{n}", f"m{n}", 50_000 + n, 60_000, 0.99 + 0.01 * n)
            for n in range(_NODES)
        ]
        self.config = config_table.ConfigTable(
            self.monotonic, _BOUNDS.config_apply_ms
        )
        # Limits of all configurations with the time of their replacement.
        self.history: list[list] = []
        self.jobs: dict[str, model.Job] = {}
        self.stored: dict[str, bytes] = {}
        self.in_flight: list[_Order] = []
        self.token = 0
        self.names = 0
        self._publish([5, 8])
        self._lead()
        self.report_all()

    # What the leader does.

    def _lead(self):
        """Starts a term with what is recorded."""
        self.token += 1
        tables = tables_module.Tables(
            self.token,
            self.monotonic,
            self.wall,
            self.config,
            job_table.JobTable(),
            _BOUNDS,
        )
        self.tables = tables
        self.scheduler = scheduling.Scheduler(tables)
        self.launchable: list[progress.Run] = []
        self.unanswered: list[progress.Run] = []
        self.stops: list[progress.Member] = []
        for node in self.nodes:
            node.asked = None
        self.live = live_list.LiveList(
            tables,
            lambda entry: self.listed[entry.key],
            lambda state: None,
            # The first leader has led for long.
            self.monotonic.now_ms() if self.token > 1 else 0,
        )
        self.launcher = launcher.Launcher(
            None,
            tables,
            call_gate.CallGate(self.monotonic),
            lambda: True,
            lambda reason: None,
        )
        self.listed: dict[str, model.Endpoint] = {}
        for number in range(_NODES):
            self._list(number)
        now_ms = self.monotonic.now_ms()
        for job_id, job in self.jobs.items():
            entry = progress.JobEntry(job, now_ms)
            value = self.stored.get(job_id)
            if value is not None:
                progress.restore(entry, value, self.wall.now_ms(), now_ms)
            entry.open_due_steps(self.wall.now_ms(), now_ms)
            tables.entries_by_id[job_id] = entry
            for run in entry.runs():
                lifecycle.adopt(tables, run, self.live.state_for, 0)
            if entry.state.final:
                for run in entry.runs():
                    lifecycle.stop_run(tables, run, "the job has ended")

    def _list(self, number):
        node = self.nodes[number]
        self.listed[node.endpoint_id] = builders.endpoint(
            node.endpoint_id,
            born_ms=node.born_ms,
            machine=node.machine,
            rack=node.machine,
        )
        self.live.apply(ports.Entry(1, node.endpoint_id, b"1"))

    def _publish(self, amounts):
        now_ms = self.monotonic.now_ms()
        if self.history:
            self.history[-1][1] = now_ms
        accounts = [
            model.Account(name, frozenset(), limit=model.Resources(gpu=amount))
            for name, amount in zip(_ACCOUNTS, amounts, strict=True)
        ]
        version = len(self.history) + 1
        self.history.append([dict(zip(_ACCOUNTS, amounts, strict=True)), None])
        self.config.publish(
            version,
            builders.config(
                _URGENT, _BATCH, accounts=accounts, version=version
            ),
        )

    def _limit_gpu(self, account):
        """Returns the smallest limit that may be in force, None for none."""
        now_ms = self.monotonic.now_ms()
        amounts = [
            limits[account]
            for limits, replaced_ms in self.history
            if replaced_ms is None
            or now_ms < replaced_ms + _BOUNDS.config_apply_ms
        ]
        return min(filter(None, amounts), default=None)

    def _true_gpu(self, account):
        """Returns what runs or may still start."""
        now_ms = self.monotonic.now_ms()
        found = {}
        for node in self.nodes:
            for key, room in node.running.items():
                found[(node.endpoint_id, key)] = room.gpu
            for order in self.in_flight:
                if node.accepts(order, now_ms):
                    found[(node.endpoint_id, order.key)] = order.room.gpu
        return sum(
            gpu
            for (_, (task, _)), gpu in found.items()
            if self.jobs[task.job_id].account == account
        )

    def _state_of(self, node):
        """Returns the leader's state of a node's current or last life."""
        return self.tables.endpoints.by_id.get(node.endpoint_id)

    def _tick(self, by_ms=1):
        """Lets time pass; nodes end runs whose lease is over."""
        self.monotonic.advance(by_ms)
        self.wall.advance(by_ms)
        now_ms = self.monotonic.now_ms()
        for node in self.nodes:
            if node.clock_ms(now_ms) > node.lease:
                for key in list(node.running):
                    node.end(key, model.EndKind.LAPSED)
        self.in_flight = [
            order
            for order in self.in_flight
            if any(
                order.endpoint_id == node.endpoint_id
                and order.deadline_ms > node.clock_ms(now_ms)
                for node in self.nodes
            )
        ]

    @stateful.rule(
        account=st.sampled_from(_ACCOUNTS),
        count=st.integers(1, 4),
        gpu=st.sampled_from([1, 1, 2, 4, 8]),
        gang=st.booleans(),
        urgent=st.booleans(),
    )
    def submit(self, account, count, gpu, gang, urgent):
        """Opens a job."""
        self.names += 1
        step = builders.step(
            count=count, gpu=gpu, gang=gang, estimate_ms=9_000 - 7_000 * urgent
        )
        job = builders.job(
            f"j{self.names:03}",
            step,
            queue=_URGENT if urgent else _BATCH,
            account=account,
            accepted_ms=self.wall.now_ms(),
        )
        self.jobs[job.job_id] = job
        lifecycle.open_job(self.tables, job)

    @stateful.rule(
        account=st.sampled_from(_ACCOUNTS),
        counts=st.lists(st.integers(1, 4), min_size=1, max_size=3),
        gang=st.booleans(),
        urgent=st.booleans(),
        fates=_FATES,
        stale=st.booleans(),
        amount=st.sampled_from([None, None, 1, 3, 9]),
        reborn=st.sampled_from([None, None, None, 0, 1, 2]),
    )
    def run_jobs(
        self, account, counts, gang, urgent, fates, stale, amount, reborn
    ):
        """Opens jobs, and starts them as far as they fit.

        Before the orders are sent, reports may be written that are read after
        them, and the limits may change. A node may restart after them.
        """
        for count in counts:
            self.submit(account, count, 1 + count % 2, gang, urgent)
        self.report_all()
        self.place(True)
        for number in range(_NODES if stale else 0):
            self.ask(number)
        if amount is not None:
            self._publish([amount, amount])
        self.order_some(6, fates)
        for number in range(_NODES if stale else 0):
            self.answer(number)
        if reborn is not None:
            self.restart(reborn, True, True, True)

    @stateful.rule(stored=st.booleans())
    def place(self, stored):
        """Runs a placement pass; no account gets more than its limit."""
        before = len(self.tables.assigned_runs)
        self.live.add_restarted()
        self.scheduler.run()
        for run in self.tables.assigned_runs[before:]:
            account = run.unit.entry.job.account
            limit = self._limit_gpu(account)
            assert not limit or self.tables.usage.usage(account).gpu <= limit
        self._tick()
        if stored:
            self.store()

    @stateful.rule()
    def store(self):
        """Records all changes; assigned runs may start afterwards."""
        tables = self.tables
        for job_id in sorted(tables.dirty):
            entry = tables.entries_by_id[job_id]
            self.stored[job_id] = progress.encode(entry)
        tables.dirty.clear()
        self.launchable += tables.assigned_runs
        tables.assigned_runs = []
        self.stops += tables.pending_stops
        tables.pending_stops = []
        for node in self.nodes:
            state = self._state_of(node)
            if state is None or state.info.born_ms != node.born_ms:
                continue
            state.acked_end = state.handled_end
            if not node.cut:
                node.ended = [
                    row for row in node.ended if row.number > state.acked_end
                ]
        self._tick()

    @stateful.rule(
        count=st.integers(1, 6),
        fates=_FATES,
    )
    def order_some(self, count, fates):
        """Sends the orders of runs."""
        for number in range(count):
            self.order(0, fates[number % 4 :] + fates[: number % 4])

    @stateful.rule(
        pick=_PICK,
        fates=_FATES,
    )
    def order(self, pick, fates):
        """Sends the orders of a run, each with its own fate."""
        if not self.launchable:
            return
        run = self.launchable.pop(pick % len(self.launchable))
        reason = self.launcher._start_obstacle(run)
        if reason is not None:
            lifecycle.stop_run(self.tables, run, reason)
            return
        if run.phase != progress.Phase.ASSIGNED:
            return
        account = run.unit.entry.job.account
        limit = self._limit_gpu(account)
        need = run.unit.size * run.unit.step.room.gpu
        assert not limit or self._true_gpu(account) + need <= limit
        run.phase = progress.Phase.STARTING
        run.started_ms = self.monotonic.now_ms()
        answered = [
            self._send(member, fate)
            for member, fate in zip(run.members, fates, strict=False)
        ]
        self._tick()
        if run.phase != progress.Phase.STARTING:
            return
        if None in answered:
            self.unanswered.append(run)
        elif all(answered):
            run.phase = progress.Phase.RUNNING
        else:
            lifecycle.stop_run(self.tables, run, "refused")

    def _send(self, member, fate):
        """Sends an order; returns whether it was carried out, None if unknown.

        A node that is cut off carries out nothing at once.
        """
        tables = self.tables
        now_ms = self.monotonic.now_ms()
        state = tables.endpoints.by_id[member.endpoint_id]
        if member.terminated:
            return False
        nodes = [n for n in self.nodes if n.endpoint_id == member.endpoint_id]
        if not nodes or fate == "refused":
            state.mark_unreachable(now_ms, "refused")
            return False
        (node,) = nodes
        member.start_sent = True
        order = _Order(
            node.endpoint_id,
            (member.task, member.run.number),
            tables.token,
            state.extend_lease(_BOUNDS.lease_ms, now_ms),
            member.run.unit.step.room,
        )
        if node.cut or fate == "late":
            self.in_flight.append(order)
        else:
            node.start(order, now_ms)
        if fate == "done" and not node.cut:
            if order.key not in node.running:
                return False
            if node.born_ms == state.info.born_ms:
                state.set_clock(node.clock_ms(now_ms), now_ms)
            member.report_valid_from_ms = now_ms
            member.confirmed = True
            return True
        state.mark_unreachable(now_ms, "unanswered")
        state.pending_starts.send((member.task, member.run.number), now_ms)
        return None

    @stateful.rule(pick=_PICK)
    def give_up_start(self, pick):
        """Stops a run whose start was not answered in time."""
        if self.unanswered:
            run = self.unanswered.pop(pick % len(self.unanswered))
            lifecycle.stop_run(self.tables, run, "unanswered")
            self._tick()

    @stateful.rule(pick=_PICK)
    def execute_late(self, pick):
        """Carries out an order that was on its way."""
        if not self.in_flight:
            return
        order = self.in_flight.pop(pick % len(self.in_flight))
        for node in self.nodes:
            node.start(order, self.monotonic.now_ms())
        self._tick()

    @stateful.rule(pick=_PICK, answered=st.booleans())
    def stop(self, pick, answered):
        """Sends a stop; without an answer it is sent again later."""
        if not self.stops:
            return
        member = self.stops.pop(pick % len(self.stops))
        state = self.tables.endpoints.by_id.get(member.endpoint_id)
        if member.terminated or state is None or state.ended:
            return
        key = (member.task, member.run.number)
        for node in self.nodes:
            if node.endpoint_id != member.endpoint_id or node.cut:
                continue
            node.stop(key, self.tables.token)
            if answered:
                member.report_valid_from_ms = self.monotonic.now_ms()
                self._tick()
                return
        self.stops.append(member)
        self._tick()

    @stateful.rule(number=_NODE)
    def ask(self, number):
        """Renews the lease of a node, which writes a report."""
        node = self.nodes[number]
        state = self._state_of(node)
        now_ms = self.monotonic.now_ms()
        if node.cut or state is None or state.ended or node.asked is not None:
            if node.cut and state is not None:
                state.mark_unreachable(now_ms, "cut")
            return
        if state.contacted and state.members:
            deadline_ms = state.extend_lease(_BOUNDS.lease_ms, now_ms)
            node.extend(deadline_ms, now_ms)
        node.token = max(node.token, self.tables.token)
        self._tick()
        report = model.Report(
            node.clock_ms(self.monotonic.now_ms()),
            node.born_ms,
            tuple(model.ReportedRun(*key, "", 10, 0.0) for key in node.running),
            tuple(node.ended),
        )
        node.asked = (now_ms, state, report)

    @stateful.rule(number=_NODE)
    def answer(self, number):
        """Reads the report of a node."""
        node = self.nodes[number]
        if node.asked is None:
            return
        sent_ms, state, report = node.asked
        node.asked = None
        self._tick()
        if state.ended:
            return
        if report.born_ms != state.info.born_ms:
            if report.born_ms > state.info.born_ms:
                reader = watcher.Watcher(
                    _Stops(self.nodes),
                    self.tables,
                    state,
                    None,
                    lambda: True,
                    lambda reason: None,
                )
                _drive(reader._handle_restart(report, sent_ms))
            return
        state.answering = True
        for row in reports.apply(self.tables, state, report, sent_ms):
            if not node.cut:
                node.stop((row.task, row.run), self.tables.token)
        self._tick()

    @stateful.rule()
    def report_all(self):
        """Reads a report of each node."""
        for number in range(_NODES):
            self.answer(number)
            self.ask(number)
            self.answer(number)

    @stateful.rule(number=_NODE, by_ms=_ANY_MS, led=st.booleans())
    def cut(self, number, by_ms, led):
        """Cuts a node off, or mends its link, and lets time pass.

        The leader may change in the meantime.
        """
        node = self.nodes[number]
        node.cut = not node.cut
        if led:
            self._lead()
        self.ask(number)
        self._tick(by_ms)
        self._lapse()

    def _lapse(self):
        """Gives up runs on silent endpoints whose leases have expired."""
        for state in list(self.tables.endpoints.by_id.values()):
            if state.ended or state.answering or not state.members:
                continue
            if self.monotonic.now_ms() > state.leases_expire_ms():
                builders.expire_leases(self.tables, state)

    @stateful.rule(number=_NODE, pick=_PICK, failed=st.booleans())
    def finish(self, number, pick, failed):
        """Ends a task on a node; all tasks of a gang end together."""
        node = self.nodes[number]
        if not node.running:
            return
        keys = list(node.running)
        task, run = keys[pick % len(keys)]
        kind = model.EndKind.FAILED if failed else model.EndKind.DONE
        gang = self.jobs[task.job_id].steps[0].gang
        for other in self.nodes:
            for key in list(other.running):
                same = key[0].job_id == task.job_id and key[1] == run
                if key == (task, run) or gang and same:
                    other.end(key, kind)
        self._tick()

    @stateful.rule(
        number=_NODE,
        same_id=st.booleans(),
        listed=st.booleans(),
        reported=st.booleans(),
    )
    def restart(self, number, same_id, listed, reported):
        """Restarts an endpoint; an order on its way may reach its next life.

        A second copy of an order whose run has ended already is left out: the
        watcher stops what such a copy starts.
        """
        node = self.nodes[number]
        self._tick()
        old_id = node.endpoint_id
        if not same_id:
            self.names += 1
        node.restart(
            self.monotonic.now_ms(), old_id if same_id else f"n{self.names}"
        )
        counted = {
            (member.endpoint_id, member.task, member.run.number)
            for entry in self.tables.entries_by_id.values()
            for run in entry.runs()
            for member in run.members
            if not member.terminated
        }
        self.in_flight = [
            order
            for order in self.in_flight
            if order.endpoint_id != node.endpoint_id
            or (order.endpoint_id, *order.key) in counted
        ]
        if not same_id:
            self.listed.pop(old_id, None)
            self.live.apply(ports.Entry(1, old_id, None))
        if listed:
            self._list(number)
        self._tick()
        if reported:
            self.ask(number)
            self.answer(number)

    @stateful.rule()
    def list_all(self):
        """Lists what the endpoints register themselves as."""
        for number in range(_NODES):
            self._list(number)

    @stateful.rule(pick=_PICK)
    def cancel(self, pick):
        """Cancels a job."""
        if self.jobs:
            job_id = sorted(self.jobs)[pick % len(self.jobs)]
            lifecycle.cancel_job(self.tables, job_id)

    @stateful.rule(reported=st.booleans())
    def change_leader(self, reported):
        """Starts the next term; what is not recorded is forgotten."""
        self._lead()
        self._tick()
        if reported:
            self.report_all()

    @stateful.rule(
        first=st.sampled_from([0, 1, 3, 5, 9]),
        second=st.sampled_from([0, 2, 8, 16]),
    )
    def publish(self, first, second):
        """Publishes a configuration with other limits."""
        self._publish([first, second])

    @stateful.rule(by_ms=_ANY_MS)
    def wait(self, by_ms):
        """Lets time pass."""
        self._tick(by_ms)
        self._lapse()

    @stateful.invariant()
    def ledger_is_not_below_what_runs(self):
        """The ledger counts all that runs or may still start."""
        for account in _ACCOUNTS:
            usage = self.tables.usage.usage(account)
            assert usage.gpu >= self._true_gpu(account)
            assert min(usage.cpu, usage.mem_mb, usage.gpu) >= 0

    @stateful.invariant()
    def ledger_counts_each_member_once(self):
        """The ledger is the sum of all members that are not terminated."""
        for account in _ACCOUNTS:
            counted = sum(
                run.unit.step.room.gpu
                for entry in self.tables.entries_by_id.values()
                if entry.job.account == account
                for run in entry.runs()
                for member in run.members
                if not member.terminated
            )
            assert self.tables.usage.usage(account).gpu == counted

    def teardown(self):
        """Once all is quiet, the ledger is what runs."""
        for number, node in enumerate(self.nodes):
            node.cut = False
            self._list(number)
        for _ in range(4):
            self.store()
            while self.launchable:
                self.order(0, ["done"] * 4)
            while self.unanswered:
                self.give_up_start(0)
            while self.in_flight:
                self.execute_late(0)
            self.store()
            for _ in range(len(self.stops)):
                self.stop(0, True)
            for _ in range(2):
                for number in range(_NODES):
                    self.live.add_restarted()
                    self.answer(number)
                    self.ask(number)
                    self.answer(number)
            for state in list(self.tables.endpoints.by_id.values()):
                if not state.listed and state.members and not state.ended:
                    # Its id is gone for good.
                    builders.expire_leases(self.tables, state)
        for account in _ACCOUNTS:
            usage = self.tables.usage.usage(account)
            assert usage.gpu == self._true_gpu(account)


Ledger.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
)
TestLedger = Ledger.TestCase
