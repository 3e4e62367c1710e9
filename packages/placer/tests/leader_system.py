"""Hosts, a log and endpoints in memory, for tests of whole terms."""

import asyncio

import builders
import fakelog
import fakeworkers
from laburnumgate_placer import host as host_module
from laburnumgate_placer import intake
from laburnumgate_placer import limits
from laburnumgate_placer import records
from laburnumgate_placer import services

BOUNDS = limits.Bounds(max_lease_ms=600, gang_ms=1_000)
OPERATORS = "keyed.test-operators"
LIST = "keyed.test-list"
STATUS = "keyed.test-status"


class System:
    """Hosts that share one log and a set of workers."""

    def __init__(self, *worker_ids):
        self.log = fakelog.FakeLog()
        self.workers = fakeworkers.FakeEndpoints(
            *(fakeworkers.FakeWorker(worker_id) for worker_id in worker_ids)
        )
        self.log.put(OPERATORS, records.encode_keyed("config", b"1"))
        for worker_id in worker_ids:
            self.list_worker(worker_id)
        self.tasks = {}
        self.hosts = {}
        self.advisor = None
        self.machines = None
        self.queue = builders.QUEUE
        self.policy = None
        self.machines_by_id = {}

    def apply_operator_entry(self, table, entry):
        table.publish(entry.offset, builders.config(self.queue))

    def list_worker(self, worker_id, present=True):
        born = self.workers.by_id[worker_id].born_ms
        value = str(born).encode() if present else b""
        self.log.put(LIST, records.encode_keyed(worker_id, value))

    def add_host(self, name, first_start=False) -> host_module.Host:
        host = host_module.Host(
            name,
            services.Services(
                log=self.log,
                endpoints=self.workers,
                advisor=self.advisor,
                machines=self.machines,
                decode_endpoint=lambda entry: builders.endpoint(
                    entry.key,
                    born_ms=int(entry.value),
                    machine=self.machines_by_id.get(
                        entry.key, f"m-{entry.key}"
                    ),
                ),
                apply_operator_entry=self.apply_operator_entry,
                encode_wave_state=lambda wave, done: (
                    f"wave/{wave}",
                    b"completed" if done else b"running",
                ),
                operator_topic=OPERATORS,
                list_topic=LIST,
                status_topic=STATUS,
            ),
            BOUNDS,
            claim_delay_ms=0,
            first_start=first_start,
            policy=self.policy,
        )
        self.hosts[name] = host
        self.tasks[name] = asyncio.create_task(host.run())
        return host

    def kill(self, name):
        self.tasks.pop(name).cancel()

    def worker(self, worker_id) -> fakeworkers.FakeWorker:
        return self.workers.by_id[worker_id]

    def starts(self):
        return [
            (worker.endpoint_id, order)
            for worker in self.workers.by_id.values()
            for order in worker.starts
        ]


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


async def start_system(*worker_ids):
    system = System(*worker_ids)
    host = system.add_host("h1", first_start=True)
    await wait_until(lambda: host.leader and host.leader.recovered)
    return system, host


async def submit(host, job):
    await wait_until(host.ready)
    assert await host.intake.submit(job, 3_000) == intake.Accepted()
