"""Operator configuration: queues, accounts, zones and waves."""

import collections
import dataclasses
import logging

from laburnumgate_core import clock

from laburnumgate_placer import events
from laburnumgate_placer import model
from laburnumgate_placer.accounts import limits

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

    def __init__(self, monotonic: clock.Clock | None = None, apply_ms: int = 0):
        """Initialises a table without a configuration.

        Args:
          monotonic: clock for `apply_ms`; needed only with it.
          apply_ms: how long the limits of a replaced configuration stay in
            force, because other hosts may still use it.
        """
        self._monotonic = monotonic
        self._apply_ms = apply_ms
        # Limits of replaced configurations by account, each with the monotonic
        # time until which they are in force, oldest first.
        self._earlier: collections.deque[
            tuple[int, dict[str, model.Resources]]
        ] = collections.deque()
        self._limit_by_account: dict[str, model.Resources] = {}
        self._weight_by_account: dict[str, float] = {}
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
        self._replace_limits(config)
        self._weight_by_account = {
            account.name: account.weight
            for account in config.accounts_by_name.values()
            if account.weight > 0
        }
        if changed:
            events.emit(
                _LOGGER,
                events.Event.CONFIG_IN_FORCE,
                version=config.version,
                offset=offset,
            )
        return changed

    def has_limits(self) -> bool:
        """Whether any account has a limit in a configuration in force."""
        if self._earlier:
            self._drop_expired()
        return bool(self._limit_by_account or self._earlier)

    def limit(self, account: str) -> model.Resources:
        """Returns the limit of an account, an amount of 0 for no limit.

        It is the smallest limit, for each resource, of all configurations that
        may still be in force on some host.
        """
        limit = self._limit_by_account.get(account, limits.NO_LIMIT)
        if not self._earlier:
            return limit
        self._drop_expired()
        earlier = [known.get(account) for _, known in self._earlier]
        return limits.strictest([limit, *filter(None, earlier)])

    def has_weights(self) -> bool:
        """Whether any account has a weight."""
        return bool(self._weight_by_account)

    def weight(self, account: str) -> float:
        """Returns the weight of an account, 0 for none."""
        return self._weight_by_account.get(account, 0.0)

    def _replace_limits(self, config: model.Configuration) -> None:
        replaced = self._limit_by_account
        self._limit_by_account = {
            account.name: account.limit
            for account in config.accounts_by_name.values()
            if account.limit != limits.NO_LIMIT
        }
        if not self._apply_ms:
            return
        self._drop_expired()
        if replaced and replaced != self._limit_by_account:
            until_ms = self._monotonic.now_ms() + self._apply_ms
            self._earlier.append((until_ms, replaced))

    def _drop_expired(self) -> None:
        now_ms = self._monotonic.now_ms()
        while self._earlier and self._earlier[0][0] <= now_ms:
            self._earlier.popleft()

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
