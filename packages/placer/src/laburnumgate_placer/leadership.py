"""Leader election: claims in the log, kept alive by heartbeats.

The offset of a claim is the fencing token of the leader. It increases with
every change of leader and is never reused, even if hosts lose their state.
"""

import asyncio
import collections
import dataclasses
import logging

from laburnumgate_core import clock
import orjson

from laburnumgate_placer import events
from laburnumgate_placer import feed
from laburnumgate_placer import ports
from laburnumgate_placer import topics
from laburnumgate_placer.overload import election

_LOGGER = logging.getLogger(__name__)

HEARTBEAT_MS = 250
# Number of gaps between heartbeats that determine the election timeout.
GAP_WINDOW = 8
# Must be shorter than the election timeout: only a recent read proves that the
# leader has written nothing.
READ_WAIT_MS = 350
APPEND_TIMEOUT_MS = 800
CHECK_MS = 50
# Reserve hosts follow the leader in rare reads and claim later than others, so
# that an idle one costs little.
RESERVE_READ_INTERVAL_MS = 800
RESERVE_CLAIM_DELAY_MS = 600


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim to leadership, valid until the next one.

    Attributes:
      host: id of the host, unique per process start.
      token: fencing token.
    """

    host: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A report of the backlog by the leader.

    Attributes:
      load: the report, as hosts of all builds read it.
      ranked: the part of it that hosts of earlier builds ignore, None if the
        leader sent none.
      age_ms: time since it was read.
    """

    load: dict
    ranked: dict | None
    age_ms: int


class Leadership:
    """Follows claims and heartbeats, and claims leadership if there is none."""

    def __init__(
        self,
        log: ports.Log,
        monotonic: clock.MonotonicClock,
        host: str,
        claim_delay_ms: int,
        first_start: bool,
        *,
        reserve: bool = False,
    ):
        """Prepares a candidate.

        Args:
          log: the log service.
          monotonic: clock for timeouts and heartbeats.
          host: id of this host, unique per process start.
          claim_delay_ms: delay before claiming, so that others claim first.
          first_start: whether this is the first start of the system, so that
            no earlier leader can exist.
          reserve: whether this host leads only if no abler one claims.
        """
        self._read_interval_ms = RESERVE_READ_INTERVAL_MS if reserve else 0
        self.feed = feed.Feed(
            log,
            monotonic,
            topics.LEADER,
            self._apply,
            wait_ms=READ_WAIT_MS,
            keyed=False,
            min_interval_ms=self._read_interval_ms,
        )
        self.current: Claim | None = None
        self.changed = asyncio.Event()
        self._log = log
        self._monotonic = monotonic
        self._host = host
        self._delay_ms = claim_delay_ms
        if reserve:
            self._delay_ms += RESERVE_CLAIM_DELAY_MS
        self._last_record_ms = 0 if first_start else monotonic.now_ms()
        self._no_leader = first_start
        # Send time of the latest heartbeat, or own claim, that was stored.
        self._stored_ms = 0
        # Time after which the own claim was stored, if nothing was before it
        # that this host had not read.
        self._claimed_ms = 0
        self._own: Claim | None = None
        # Tokens up to this one are not taken any more: a term that began again
        # would share its fencing token and its epoch with the earlier one.
        self._given_up_token = 0
        self._stopping = False
        self._heartbeat_gaps_ms: collections.deque[int] = collections.deque(
            maxlen=GAP_WINDOW
        )
        # Monotonic times at which silent leaders were replaced.
        self._replaced_ms: collections.deque[int] = collections.deque(
            maxlen=GAP_WINDOW
        )
        # Latest report of the backlog by the current leader, and its time.
        self._load: dict = {}
        self._ranked_load: dict | None = None
        self._load_ms: int | None = None
        self._own_load: bytes | None = None
        self._lag = election.Lag()
        self._claim_after_ms = 0

    @property
    def own_claim(self) -> Claim | None:
        """Claim of this host, None if it has none or a later one is known."""
        return self._own

    def report_load(self, load: dict, ranked: dict | None = None) -> None:
        """Sends a report of the backlog with the next heartbeat.

        Args:
          load: the report, as hosts of all builds read it.
          ranked: the part of it that hosts of earlier builds ignore.
        """
        if self._own is not None:
            own = self._own
            record = ["load", own.host, own.token, load]
            if ranked is not None:
                record.append(ranked)
            self._own_load = orjson.dumps(record)

    def load(self, max_age_ms: int) -> dict | None:
        """Returns what all builds read of the latest report, None if older."""
        if self._load_ms is None:
            return None
        if self._monotonic.now_ms() - self._load_ms > max_age_ms:
            return None
        return self._load

    def load_report(self, max_age_ms: int) -> LoadReport | None:
        """Returns the leader's latest report, None if it is older."""
        load = self.load(max_age_ms)
        if load is None:
            return None
        age_ms = self._monotonic.now_ms() - self._load_ms
        return LoadReport(load, self._ranked_load, age_ms)

    def confirmed_ms(self) -> int:
        """Returns the latest time at which this host is known to have led.

        A stored heartbeat alone does not show that: it may be stored after a
        later claim that this host has not read.

        Returns:
          Monotonic time in ms: the earlier of the send time of the latest
          heartbeat that was stored and the latest time by which no claim was
          stored that this host has not read.
        """
        return min(self._stored_ms, self._read_ms())

    def unread_ms(self) -> int:
        """Returns for how long heartbeats were stored, but nothing was read.

        No other host claims then, and this one may not lead for much longer.
        """
        return max(0, self._stored_ms - self._read_ms())

    def _read_ms(self) -> int:
        return max(self.feed.fresh_ms, self._claimed_ms)

    async def run(self) -> None:
        """Claims and maintains leadership until cancelled."""
        await self.feed.loaded.wait()
        while True:
            if self._own is not None and self._stopping:
                # The claim was under way when the host resigned.
                await self._hand_over("stopping")
                continue
            if self._own is not None:
                await self._send_heartbeat()
                await self._wait_for_heartbeat()
                continue
            if not self._stopping and self._leader_absent():
                await self._claim()
            await asyncio.sleep(CHECK_MS / 1000)

    async def resign(self) -> None:
        """Resigns, so that another host can claim leadership at once."""
        self._stopping = True
        if self._own is not None:
            await self._hand_over("stopping")

    async def _wait_for_heartbeat(self) -> None:
        """Waits until a heartbeat is due; hands over if the host is too slow.

        The lag of the timer shows how long other work occupies the event loop.
        """
        began_ms = self._monotonic.now_ms()
        await asyncio.sleep(HEARTBEAT_MS / 1000)
        now_ms = self._monotonic.now_ms()
        self._lag = self._lag.after(now_ms - began_ms - HEARTBEAT_MS)
        if self._lag.overloaded and self._own is not None:
            self._lag = election.Lag()
            self._claim_after_ms = now_ms + election.HANDED_OVER_PAUSE_MS
            await self._hand_over("the host is too slow for its work")

    async def _hand_over(self, reason: str) -> None:
        own = self._give_up_leadership(reason)
        await self._log.append(
            topics.LEADER,
            [_encode("resign", own.host, own.token)],
            timeout_ms=APPEND_TIMEOUT_MS,
        )

    def step_down(self, reason: str) -> None:
        """Gives up leadership, e.g. after a rejected fencing token."""
        if self._own is not None:
            self._give_up_leadership(reason)

    def _leader_absent(self) -> bool:
        now_ms = self._monotonic.now_ms()
        if now_ms < self._claim_after_ms:
            return False
        silent_ms = now_ms - self._last_record_ms
        if self._no_leader:
            return silent_ms >= self._delay_ms
        # A host that cannot read the log would miss the heartbeats as well.
        if self.feed.age_ms() > self._election_timeout_ms():
            return False
        return silent_ms >= self._election_timeout_ms() + self._delay_ms

    def _election_timeout_ms(self) -> float:
        from_ms = self._monotonic.now_ms() - election.REPLACEMENT_WINDOW_MS
        replacements = sum(1 for at_ms in self._replaced_ms if at_ms > from_ms)
        return election.timeout_ms(self._heartbeat_gaps_ms, replacements)

    async def _claim(self) -> None:
        at_offset = self.feed.next_offset
        sent_ms = self._monotonic.now_ms()
        outcome = await self._log.append(
            topics.LEADER,
            [_encode("claim", self._host, 0)],
            timeout_ms=APPEND_TIMEOUT_MS,
            at_offset=at_offset,
        )
        match outcome:
            case ports.Appended(offset):
                # The condition shows that no claim was unread by then.
                self._claimed_ms = sent_ms
                self._take_leadership(Claim(self._host, offset + 1), sent_ms)
            case ports.Unknown():
                # The claim may be stored: `_apply` finds it when it is read.
                await self.feed.wait_for_offset(
                    at_offset + 1, APPEND_TIMEOUT_MS
                )

    def _take_leadership(self, claim: Claim, stored_ms: int) -> None:
        """Begins a term, unless it is over.

        Args:
          claim: a claim of this host that is stored.
          stored_ms: monotonic time after which it was stored.
        """
        if self._own == claim or claim.token <= self._given_up_token:
            return
        if self.current is not None and self.current.token > claim.token:
            return
        self._own = claim
        self.current = claim
        self._stored_ms = stored_ms
        self._no_leader = False
        self.feed.min_interval_ms = 0
        events.emit(_LOGGER, events.Event.LEAD_TAKEN, token=claim.token)
        self.changed.set()

    async def _send_heartbeat(self) -> None:
        own = self._own
        sent_ms = self._monotonic.now_ms()
        records = [_encode("beat", own.host, own.token)]
        if self._own_load is not None:
            records.append(self._own_load)
            self._own_load = None
        outcome = await self._log.append(
            topics.LEADER, records, timeout_ms=APPEND_TIMEOUT_MS
        )
        if isinstance(outcome, ports.Appended) and self._own == own:
            self._stored_ms = sent_ms

    def _give_up_leadership(self, reason: str) -> Claim:
        own = self._own
        self._own = None
        self._given_up_token = own.token
        self._last_record_ms = self._monotonic.now_ms()
        self.feed.min_interval_ms = self._read_interval_ms
        events.emit(
            _LOGGER, events.Event.LEAD_LOST, token=own.token, reason=reason
        )
        self.changed.set()
        return own

    def _apply(self, entry: ports.Entry) -> None:
        kind, host, token, *details = orjson.loads(entry.value or b"null")
        now_ms = self._monotonic.now_ms()
        if kind == "claim":
            claim = Claim(host, entry.offset + 1)
            if self.current is not None and self.current.token > claim.token:
                return  # It is read again.
            if self.current is not None and not self._no_leader:
                self._replaced_ms.append(now_ms)
            self.current = claim
            self._last_record_ms = now_ms
            self._no_leader = False
            if host == self._host:
                # It may have been stored long before it is read.
                self._take_leadership(claim, self.feed.fresh_ms)
            elif self._own is not None and self._own.token < claim.token:
                self._give_up_leadership("another host leads")
            return
        if self.current is not None and token < self.current.token:
            return
        if self.current is None or token > self.current.token:
            # The log keeps records for a limited time, and the claim expired
            # before it was read.
            self.current = Claim(host, token)
            self._no_leader = False
            if self._own is not None:
                self._give_up_leadership("another host has led")
        if kind == "load":
            self._load = details[0]
            self._ranked_load = details[1] if len(details) > 1 else None
            self._load_ms = now_ms
            return
        gap_ms = now_ms - self._last_record_ms - self.feed.min_interval_ms
        self._heartbeat_gaps_ms.append(gap_ms)
        self._last_record_ms = now_ms
        if kind == "resign":
            self._no_leader = True


def _encode(kind: str, host: str, token: int) -> bytes:
    return orjson.dumps([kind, host, token])
