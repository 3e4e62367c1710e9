"""Compares two methods for a host to catch up with the configuration.

Run as `python -m laburnumgate_bench.catchup`. A host that lacks a day's
changes either replays every record or loads a snapshot with one value per key.
"""

import dataclasses
import random
import time

import click
from laburnumgate_core import config
from laburnumgate_core import records
from laburnumgate_core import snapshot

ACCOUNTS = 110
ZONES = 11
ENDPOINTS_PER_ZONE = 1000


@dataclasses.dataclass(frozen=True)
class Cost:
    """Bytes transferred and CPU time of the sender and the receiver."""

    way: str
    transfer_bytes: int
    send_ms: float
    receive_ms: float


class Day:
    """Log entries of a day and the configuration after applying them."""

    def __init__(self, changes: int, keys: int, seed: int):
        self.table = config.ConfigTable()
        self.entries: list[records.Entry] = []
        self._random = random.Random(seed)
        self._declare()
        self.declared = len(self.entries)
        self._keys = [
            f"endpoint-state/z{n % ZONES}-e{n // ZONES}" for n in range(keys)
        ]
        for number in range(changes):
            self._publish(f"change-{number}", self._change())

    def _declare(self) -> None:
        rack = {"endpoints": 8, "accelerators_per_endpoint": 8}
        racks = [
            {"name": f"r{n}", **rack} for n in range(ENDPOINTS_PER_ZONE // 8)
        ]
        for number in range(ZONES):
            zone = {"region": f"region{number % 3}", "racks": racks}
            self._publish(f"zone-{number}", (f"zone/z{number}", zone))
        shapes = [{"parts": 4, "accelerators_per_part": 8, "count": "${count}"}]
        template = {
            "parameters": {"count": {"type": "integer"}},
            "promise": {"quota_accelerators": 400, "shapes": shapes},
        }
        self._publish("template", ("template/t", template))
        for number in range(ACCOUNTS):
            account = {"template": "t", "parameters": {"count": 1}}
            key = f"account/a{number}"
            self._publish(f"account-{number}", (key, account))

    def _change(self) -> tuple[str, dict]:
        """Returns a random state change: 1% zones, 99% endpoints."""
        if self._random.random() < 0.01:
            zone = self._random.randrange(ZONES)
            state = self._random.choice(config.ZONE_STATES)
            return f"zone-state/z{zone}", {"state": state}
        state = self._random.choice(config.ENDPOINT_STATES)
        return self._random.choice(self._keys), {"state": state}

    def _publish(self, change_id: str, wanted: tuple[str, dict]) -> None:
        key, value = wanted
        change = records.Change(key, value, self.table.revision(key))
        publication = records.Publication(change_id, "bench", 1, (change,))
        entry = records.Entry(
            len(self.entries) + 1,
            change_id,
            records.encode_publication(publication),
        )
        self.entries.append(entry)
        outcome = self.table.apply_entry(entry)
        if not isinstance(outcome, config.Accepted):
            raise RuntimeError(f"{key}: {outcome}")


def replay(day: Day) -> Cost:
    """Applies the day's entries one by one to the initial configuration."""
    behind = config.ConfigTable()
    for entry in day.entries[: day.declared]:
        behind.apply_entry(entry)
    missing = day.entries[day.declared :]
    size = sum(len(e.data) + len(e.append_id) for e in missing)
    started = time.process_time()
    for entry in missing:
        behind.apply_entry(entry)
    receive_ms = (time.process_time() - started) * 1000
    _check(behind, day)
    return Cost("replay of every change", size, 0.0, receive_ms)


def take_values(day: Day, with_outcomes: bool) -> Cost:
    """Transfers a snapshot, with or without the outcomes of changes."""
    state = day.table.state()
    if not with_outcomes:
        state = dataclasses.replace(state, outcomes=())
    started = time.process_time()
    chunks = snapshot.encode(state)
    send_ms = (time.process_time() - started) * 1000
    started = time.process_time()
    assembler = snapshot.Assembler()
    fresh = config.ConfigTable()
    for chunk in chunks:
        body = assembler.add(chunk)
        if body is not None:
            fresh.adopt(snapshot.decode(body))
    receive_ms = (time.process_time() - started) * 1000
    _check(fresh, day)
    way = "one value per key"
    if with_outcomes:
        way += " and the outcomes"
    size = sum(len(chunk.data) for chunk in chunks)
    return Cost(way, size, send_ms, receive_ms)


def _check(table: config.ConfigTable, day: Day) -> None:
    if table.values_by_key != day.table.values_by_key:
        raise RuntimeError("the two ways lead to different configurations")


@click.command()
@click.option("--changes", default=32_000, help="Number of missing changes.")
@click.option(
    "--keys", default=4_000, help="Number of keys that the changes write to."
)
@click.option("--seed", default=1)
@click.option(
    "--rounds", default=5, help="Number of rounds; the median is reported."
)
def main(changes: int, keys: int, seed: int, rounds: int) -> None:
    """Prints the cost of each method to catch up."""
    day = Day(changes, keys, seed)
    ways = (
        lambda: replay(day),
        lambda: take_values(day, with_outcomes=True),
        lambda: take_values(day, with_outcomes=False),
    )
    click.echo(f"{changes} changes over {keys} keys, median of {rounds}")
    for way in ways:
        costs = [way() for _ in range(rounds)]
        costs.sort(key=lambda cost: cost.send_ms + cost.receive_ms)
        cost = costs[rounds // 2]
        click.echo(
            f"{cost.way:36} {cost.transfer_bytes:10} bytes  "
            f"send {cost.send_ms:7.1f} ms  receive {cost.receive_ms:7.1f} ms"
        )


if __name__ == "__main__":
    main()
