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

    method: str
    transfer_bytes: int
    send_ms: float
    receive_ms: float


class ChangeHistory:
    """Log entries of a day and the configuration after applying them."""

    def __init__(self, changes: int, keys: int, seed: int):
        self.table = config.ConfigTable()
        self.entries: list[records.Entry] = []
        self._random = random.Random(seed)
        self._publish_declarations()
        self.initial_entries = len(self.entries)
        self._keys = [
            f"endpoint-state/z{n % ZONES}-e{n // ZONES}" for n in range(keys)
        ]
        for number in range(changes):
            self._publish(f"change-{number}", self._random_change())

    def _publish_declarations(self) -> None:
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

    def _random_change(self) -> tuple[str, dict]:
        """Returns a random state change: 1% zones, 99% endpoints."""
        if self._random.random() < 0.01:
            zone = self._random.randrange(ZONES)
            state = self._random.choice(config.ZONE_STATES)
            return f"zone-state/z{zone}", {"state": state}
        state = self._random.choice(config.ENDPOINT_STATES)
        return self._random.choice(self._keys), {"state": state}

    def _publish(self, change_id: str, change: tuple[str, dict]) -> None:
        key, value = change
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
            raise RuntimeError(f"change of {key} was not accepted: {outcome}")


def replay(history: ChangeHistory) -> Cost:
    """Applies the day's entries one by one to the initial configuration."""
    table = config.ConfigTable()
    for entry in history.entries[: history.initial_entries]:
        table.apply_entry(entry)
    missing = history.entries[history.initial_entries :]
    size = sum(len(e.data) + len(e.append_id) for e in missing)
    started = time.process_time()
    for entry in missing:
        table.apply_entry(entry)
    receive_ms = (time.process_time() - started) * 1000
    _check_equal(table, history)
    return Cost("replay of every change", size, 0.0, receive_ms)


def load_snapshot(history: ChangeHistory, with_outcomes: bool) -> Cost:
    """Transfers a snapshot, with or without the outcomes of changes."""
    state = history.table.state()
    if not with_outcomes:
        state = dataclasses.replace(state, outcomes=())
    started = time.process_time()
    chunks = snapshot.encode(state)
    send_ms = (time.process_time() - started) * 1000
    started = time.process_time()
    assembler = snapshot.Assembler()
    table = config.ConfigTable()
    for chunk in chunks:
        body = assembler.add(chunk)
        if body is not None:
            table.adopt(snapshot.decode(body))
    receive_ms = (time.process_time() - started) * 1000
    _check_equal(table, history)
    method = "one value per key"
    if with_outcomes:
        method += " and the outcomes"
    size = sum(len(chunk.data) for chunk in chunks)
    return Cost(method, size, send_ms, receive_ms)


def _check_equal(table: config.ConfigTable, history: ChangeHistory) -> None:
    if table.values_by_key != history.table.values_by_key:
        raise RuntimeError("the configuration differs from that of the history")


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
    history = ChangeHistory(changes, keys, seed)
    methods = (
        lambda: replay(history),
        lambda: load_snapshot(history, with_outcomes=True),
        lambda: load_snapshot(history, with_outcomes=False),
    )
    click.echo(f"{changes} changes over {keys} keys, median of {rounds}")
    for method in methods:
        costs = [method() for _ in range(rounds)]
        costs.sort(key=lambda cost: cost.send_ms + cost.receive_ms)
        cost = costs[rounds // 2]
        click.echo(
            f"{cost.method:36} {cost.transfer_bytes:10} bytes  "
            f"send {cost.send_ms:7.1f} ms  receive {cost.receive_ms:7.1f} ms"
        )


if __name__ == "__main__":
    main()
