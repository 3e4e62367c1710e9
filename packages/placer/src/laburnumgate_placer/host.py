"""A placer host: reads the log, serves callers, and leads if elected."""

import asyncio
import logging

from laburnumgate_core import clock

from laburnumgate_placer import config_table
from laburnumgate_placer import events
from laburnumgate_placer import feed
from laburnumgate_placer import intake
from laburnumgate_placer import job_table
from laburnumgate_placer import leader
from laburnumgate_placer import leadership
from laburnumgate_placer import limits
from laburnumgate_placer import metrics
from laburnumgate_placer import policy as policy_module
from laburnumgate_placer import ports
from laburnumgate_placer import records
from laburnumgate_placer import services as services_module
from laburnumgate_placer import topics
from laburnumgate_placer import writer
from laburnumgate_placer.accounts import holds

_LOGGER = logging.getLogger(__name__)

# The configuration must be confirmed as current several times within the key
# revocation time.
CONFIG_WAIT_MS = 500
JOBS_WAIT_MS = 1_000
# Minimum interval between reads of the jobs topic by hosts that do not lead, so
# that one read returns the records of many appends. The leader reads without
# delay, and so does a host whose caller asks for a job.
FOLLOWER_READ_INTERVAL_MS = 800
# Cancellations of unknown jobs cost an append, and anyone may send them. Each
# host stores at most this many at a time, and waits in between.
EARLY_CANCEL_BATCH = 20
EARLY_CANCEL_INTERVAL_MS = 200
RETRY_MS = 50
READY_CHECK_INTERVAL_MS = 200


class Host:
    """The components of one host process."""

    def __init__(
        self,
        host_id: str,
        services: services_module.Services,
        bounds: limits.Bounds,
        *,
        claim_delay_ms: int,
        first_start: bool,
        reserve: bool = False,
        policy: policy_module.Policy | None = None,
    ):
        """Creates the components of a host.

        Args:
          host_id: id of the host, unique per process start.
          services: external services.
          bounds: time bounds of the deployment.
          claim_delay_ms: delay before claiming leadership, so that others
            claim first.
          first_start: whether this is the first start of the whole system.
          reserve: whether this host leads only if no abler one does.
          policy: scheduling policy, the default one if None.
        """
        self.monotonic = clock.MonotonicClock()
        self.wall = clock.WallClock()
        self.config = config_table.ConfigTable(
            self.monotonic, bounds.config_apply_ms
        )
        self.jobs = job_table.JobTable()
        self.leader: leader.Leader | None = None
        self.stopping = False
        log = services.log
        self._services = services
        self._bounds = bounds
        self._policy = policy
        self.config_feed = feed.Feed(
            log,
            self.monotonic,
            services.operator_topic,
            lambda entry: services.apply_operator_entry(self.config, entry),
            wait_ms=CONFIG_WAIT_MS,
            newest_only=True,
        )
        self.jobs_feed = feed.Feed(
            log,
            self.monotonic,
            topics.JOBS,
            self._apply_job,
            wait_ms=JOBS_WAIT_MS,
            min_interval_ms=FOLLOWER_READ_INTERVAL_MS,
        )
        self.submissions = writer.Writer(
            log,
            self.monotonic,
            topics.JOBS,
            f"host-{host_id}",
            1,
            lifetime_ms=writer.SUBMISSION_LIFETIME_MS,
        )
        self.cancellations = writer.Writer(
            log,
            self.monotonic,
            topics.JOBS,
            f"host-{host_id}-cancel",
            1,
            lifetime_ms=writer.SUBMISSION_LIFETIME_MS,
            interval_ms=EARLY_CANCEL_INTERVAL_MS,
            max_batch=EARLY_CANCEL_BATCH,
        )
        self.leadership = leadership.Leadership(
            log,
            self.monotonic,
            host_id,
            claim_delay_ms,
            first_start,
            reserve=reserve,
        )
        self.intake = intake.Intake(
            self.config,
            self.config_feed,
            self.jobs,
            self.jobs_feed,
            self.submissions,
            self.cancellations,
            self.wall,
            bounds,
            self.leadership.load_report,
            policy,
        )

    def ready(self) -> bool:
        """Whether this host should receive new callers (readiness)."""
        return not self.stopping and self.intake.ready()

    async def run(self) -> None:
        """Runs all components until cancelled or one of them fails."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.config_feed.run())
            group.create_task(self.jobs_feed.run())
            group.create_task(self.leadership.feed.run())
            group.create_task(self.submissions.run())
            group.create_task(self.cancellations.run())
            group.create_task(self.leadership.run())
            group.create_task(self._leadership_loop())
            group.create_task(self._report_ready_loop())

    async def stop(self) -> None:
        """Resigns leadership and reports not ready."""
        self.stopping = True
        await self.leadership.resign()

    async def _report_ready_loop(self) -> None:
        was_ready = False
        while True:
            ready = self.ready()
            if ready != was_ready:
                was_ready = ready
                events.emit(
                    _LOGGER,
                    events.Event.READY,
                    ready=ready,
                    config_age_ms=self.config_feed.age_ms(),
                    jobs_age_ms=self.jobs_feed.age_ms(),
                )
            await asyncio.sleep(READY_CHECK_INTERVAL_MS / 1000)

    async def _leadership_loop(self) -> None:
        await self.jobs_feed.loaded.wait()
        while True:
            if self.leadership.own_claim is None or self.config.current is None:
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            self.leadership.changed.clear()
            self.leader = leader.Leader(
                self._services,
                self.leadership,
                self.monotonic,
                self.wall,
                self.config,
                self.jobs,
                self.jobs_feed,
                self._bounds,
                self._policy,
            )
            self.jobs_feed.min_interval_ms = 0
            try:
                await self._run_term(self.leader)
            finally:
                self.leader = None
                self.jobs_feed.min_interval_ms = FOLLOWER_READ_INTERVAL_MS

    async def _run_term(self, term: leader.Leader) -> None:
        token = self.leadership.own_claim.token
        work = asyncio.create_task(term.run())
        try:
            while (
                self.leadership.own_claim is not None
                and self.leadership.own_claim.token == token
            ):
                changed = asyncio.create_task(self.leadership.changed.wait())
                await asyncio.wait(
                    {work, changed}, return_when=asyncio.FIRST_COMPLETED
                )
                changed.cancel()
                self.leadership.changed.clear()
                if work.done():
                    break
        finally:
            # Must not send orders after leadership is lost.
            work.cancel()
        try:
            await work
        except asyncio.CancelledError:
            if not work.cancelled():
                raise
        except leader.LeadershipLostError as error:
            self.leadership.step_down(str(error))
        except Exception as error:  # Callers are still served.
            events.emit(
                _LOGGER,
                events.Event.TASK_FAILED,
                task="Leader.run",
                reason=repr(error),
            )
            self.leadership.step_down("its term ended with an error")

    def _apply_job(self, entry: ports.Entry) -> None:
        record = records.decode(entry.key, entry.value)
        if not self.jobs.apply(record):
            return
        if self.leader is not None:
            self.leader.job_changed(record)

    def state(self) -> dict:
        """Returns a dump of the state of this process for operators."""
        claim = self.leadership.current
        config = self.config.current
        metrics.CONFIG_VERSION.set({}, config.version if config else 0)
        for each in (self.config_feed, self.jobs_feed, self.leadership.feed):
            if each.fresh_ms:
                age_s = each.age_ms() / 1000
                metrics.FEED_AGE.set({"topic": each.topic}, age_s)
        dump = {
            "ready": self.ready(),
            "config_version": config.version if config else None,
            "config_age_ms": self.config_feed.age_ms(),
            "jobs": len(self.jobs.jobs_by_id),
            "jobs_age_ms": self.jobs_feed.age_ms(),
            "leader": claim.host if claim else None,
            "token": claim.token if claim else None,
            "zones_out": sorted(self.config.zones_out),
        }
        if self.leader is not None:
            dump["open_jobs"] = len(self.leader.tables.entries_by_id)
            dump["accounts"] = holds.dump(self.leader.tables)
            dump["endpoints"] = {
                endpoint_id: {
                    "answering": state.answering,
                    "draining": state.info.draining,
                    "runs": len(state.members),
                    "speed": round(
                        self.leader.tables.durations.speeds.speed(endpoint_id),
                        2,
                    ),
                }
                for endpoint_id, state in (
                    self.leader.tables.endpoints.by_id.items()
                )
                if not state.ended
            }
        return dump
