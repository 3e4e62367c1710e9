"""Operator configuration: queues, accounts, zones and waves."""

import dataclasses
import logging

from laburnumgate_placer import events
from laburnumgate_placer import model

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class NoQueue:
    """No queue matches the host name and path."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKey:
    """The queue requires an API key, and no account has the given one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The caller may use the queue.

    Attributes:
      queue: matching queue.
      account: account of the caller, empty on a public queue without a key.
      subpath: request path after the prefix of the queue.
    """

    queue: model.Queue
    account: str
    subpath: str


class ConfigTable:
    """Latest configuration; its version never decreases in a process."""

    def __init__(self):
        self.current: model.Configuration | None = None
        self.zones_out: set[str] = set()
        self.waves_by_number: dict[int, model.Wave] = {}
        self._offset = -1

    def publish(self, offset: int, config: model.Configuration) -> bool:
        """Applies a configuration unless a newer one is in force.

        Returns:
          Whether the version in force has changed.
        """
        if offset <= self._offset:
            return False
        if self.current and config.version < self.current.version:
            return False
        self._offset = offset
        changed = self.current is None or config.version != self.current.version
        self.current = config
        if changed:
            events.emit(
                _LOGGER,
                events.Event.CONFIG_IN_FORCE,
                version=config.version,
                offset=offset,
            )
        return changed

    def set_zone(self, zone: str, out: bool) -> None:
        """Takes a zone out of service or puts it back."""
        if out == (zone in self.zones_out):
            return
        if out:
            self.zones_out.add(zone)
        else:
            self.zones_out.discard(zone)
        events.emit(
            _LOGGER, events.Event.ZONE_CHANGED, zone=zone, out_of_service=out
        )

    def set_wave(self, number: int, wave: model.Wave | None) -> None:
        """Adds a maintenance wave, or removes a withdrawn one."""
        if wave is None:
            self.waves_by_number.pop(number, None)
        else:
            self.waves_by_number[number] = wave

    def admit(
        self, hostname: str, path: str, key: str | None
    ) -> Admitted | NoQueue | UnknownKey:
        """Finds the queue of a request and checks the API key.

        The queue with the longest matching prefix is chosen. Must not be called
        before a configuration is in force.
        """
        best: model.Queue | None = None
        for queue in self.current.queues_by_name.values():
            if queue.hostname != hostname:
                continue
            if not path.startswith(queue.prefix):
                continue
            if best and len(best.prefix) >= len(queue.prefix):
                continue
            best = queue
        if best is None:
            return NoQueue()
        account = self.current.account_by_key.get(key or "")
        if account is None and not best.public:
            return UnknownKey()
        return Admitted(best, account or "", path[len(best.prefix) :])
