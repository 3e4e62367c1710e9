"""Decides which connections a process keeps and what each may still send.

Answers load from clients that are not controlled: heads or bodies without end,
many requests that stop just short of their end, connections that stay silent,
and responses that are not read. All connections of a listener share a budget
of memory and a maximum number; a connection that does not fit makes others
yield or is refused. Nothing here does I/O.
"""

import collections
from collections.abc import Iterable
import dataclasses
import enum

from laburnumgate_core import clock

_MIB = 1 << 20
# Memory of an open connection without a request: its objects, and its socket
# in the kernel.
CONNECTION_BYTES = 4_096
# Sizes of the kernel's buffers that a listener asks for.
RECEIVE_BUFFER_BYTES = 32_768
SEND_BUFFER_BYTES = 32_768
# Memory of a connection that is not read: the kernel reserves twice the size
# that it was asked for.
PAUSED_BYTES = 2 * RECEIVE_BUFFER_BYTES
# Memory of a head per byte: the buffer, and the decoded fields.
HEAD_FACTOR = 3
# Memory of a body per byte while it arrives: a growing buffer reserves more
# than it holds, and is copied when it grows.
BODY_FACTOR = 2
# Memory of a complete body per byte while it is handled: its decoded steps,
# and the record that is stored.
HANDLED_FACTOR = 16
# A reader counts as stalled unless this many bytes arrived in STALL_MS.
PROGRESS_BYTES = 1_024
STALL_MS = 1_000
# A body that has taken longer yields whatever its progress: no caller waits for
# longer.
SLOW_BODY_MS = 10_000
# Part of the memory that only requests of up to SMALL_REQUEST_BYTES may use.
SMALL_REQUEST_SHARE = 0.125
SMALL_REQUEST_BYTES = 16_384
# Parts of a process's memory limit: what all of the process may use before
# connections have to yield, and the most and the least that connections get.
_PROCESS_SHARE = 0.75
_MAX_SHARE = 1 / 3
_MIN_SHARE = 1 / 16
# Descriptors that the platform reserves for files.
_FILE_DESCRIPTORS = 200
# Part of the other descriptors that callers may use. The rest is left for the
# log and other services; a leader keeps several connections to each endpoint.
_CALLERS_SHARE = 0.5


class Reason(enum.Enum):
    """Why a connection is closed or a request is refused."""

    IDLE = "idle"
    HEAD_TOO_LONG = "head too long"
    HEAD_TOO_SLOW = "head too slow"
    BODY_TOO_LONG = "body too long"
    BODY_TOO_SLOW = "body too slow"
    MALFORMED = "malformed request"
    NOT_READ = "response not read"
    NO_MEMORY = "no memory for the request"
    YIELDED = "yielded to other connections"
    TOO_MANY = "too many connections"
    DRAINED = "rest of a refused request"


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    HANDLING = "handling"
    SENDING = "sending"
    DRAINING = "draining"


# Phases in which connections may be closed, in the order in which they yield.
_YIELDING_PHASES = (
    (Phase.IDLE,),
    (Phase.DRAINING,),
    (Phase.HEAD, Phase.BODY),
    (Phase.SENDING,),
)


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of the connections of one listener.

    Attributes:
      connections: maximum number of connections.
      process_bytes: memory limit of the process.
      min_bytes: memory that connections may always use.
      max_bytes: memory that connections use at most.
      head_bytes: maximum length of a head, with empty lines before it.
      framing_bytes: maximum number of bytes between two bytes of a chunked
        body, and after its last chunk.
      idle_ms: how long a connection may be open without a request.
      head_ms: how long a head may take.
      body_stall_ms: how long a body may make no progress.
      body_ms: how long a body may take.
      unread_ms: how long a response may wait for its reader.
      drain_ms: how long the rest of a refused request is read and dropped.
    """

    connections: int = 2_048
    process_bytes: int = 256 * _MIB
    min_bytes: int = 16 * _MIB
    max_bytes: int = 85 * _MIB
    head_bytes: int = 32_768
    framing_bytes: int = 16_384
    idle_ms: int = 75_000
    head_ms: int = 20_000
    body_stall_ms: int = 20_000
    body_ms: int = 60_000
    unread_ms: int = 20_000
    drain_ms: int = 3_000


def callers_limits(memory_mb: int, max_fds: int) -> ConnectionLimits:
    """Returns the limits of the callers' listener.

    Args:
      memory_mb: memory limit of the process, in MiB.
      max_fds: maximum number of its descriptors, including those for files.
    """
    sockets = max(1, max_fds - _FILE_DESCRIPTORS)
    return ConnectionLimits(
        connections=max(1, int(sockets * _CALLERS_SHARE)),
        process_bytes=memory_mb * _MIB,
        min_bytes=int(memory_mb * _MIB * _MIN_SHARE),
        max_bytes=int(memory_mb * _MIB * _MAX_SHARE),
    )


# Limits of a listener that serves one or a few clients, such as probes.
CONTROL_LIMITS = ConnectionLimits(
    connections=32,
    min_bytes=2 * _MIB,
    max_bytes=2 * _MIB,
    head_bytes=8_192,
    head_ms=5_000,
    body_stall_ms=5_000,
    body_ms=5_000,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """A connection that has to be closed, and why."""

    key: object
    phase: Phase
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Verdict on a connection that asks for memory or a place.

    Attributes:
      granted: whether it may go on.
      closes: connections that have to be closed for it.
    """

    granted: bool
    closes: tuple[Close, ...] = ()


_GRANTED = Decision(True)


class _Connection:
    """State of one connection; times are in ms."""

    __slots__ = (
        "began_ms",
        "cost",
        "large",
        "marked_ms",
        "paused",
        "phase",
        "unmarked_bytes",
    )

    def __init__(self, now_ms: int):
        self.phase = Phase.IDLE
        self.cost = CONNECTION_BYTES
        # Whether its request is longer than SMALL_REQUEST_BYTES.
        self.large = False
        # Whether it is not read.
        self.paused = False
        # Start of the phase.
        self.began_ms = now_ms
        # Last progress.
        self.marked_ms = now_ms
        # Bytes received since then.
        self.unmarked_bytes = 0


class ConnectionTable:
    """The connections of a listener and what they hold.

    Keys are chosen by the caller. A connection must be reported as `closed`
    once it is gone, also after the table asked for that.
    """

    def __init__(self, limits: ConnectionLimits, time: clock.Clock):
        """Creates an empty table."""
        self.limits = limits
        self.held_bytes = 0
        self._clock = time
        # Memory of the process besides connections.
        self._other_bytes = 0
        # Number of connections that are not read.
        self._paused = 0
        self._by_key: dict[object, _Connection] = {}
        # Connections by phase, the one without progress for longest first.
        self._by_phase: dict[Phase, collections.OrderedDict] = {
            phase: collections.OrderedDict() for phase in Phase
        }
        # Connections that receive a body, the earliest first.
        self._bodies: collections.OrderedDict = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._by_key)

    @property
    def adapts(self) -> bool:
        """Whether the budget depends on the memory of the process."""
        return self.limits.min_bytes < self.limits.max_bytes

    @property
    def budget_bytes(self) -> int:
        """Memory that connections may hold together."""
        limits = self.limits
        spare = int(limits.process_bytes * _PROCESS_SHARE) - self._other_bytes
        return min(limits.max_bytes, max(limits.min_bytes, spare))

    def count(self, phase: Phase) -> int:
        """Returns the number of connections in a phase."""
        return len(self._by_phase[phase])

    def observe_process(self, resident_bytes: int) -> None:
        """Takes note of the resident memory of the whole process."""
        # What the kernel keeps of connections is not resident.
        resident = self.held_bytes - self._paused * PAUSED_BYTES
        self._other_bytes = max(0, resident_bytes - resident)

    def opened(self, key: object) -> Decision:
        """Admits a new connection, or refuses it if no other can yield."""
        closes = []
        if len(self._by_key) >= self.limits.connections:
            victim = self._pick_victim(STALL_MS)
            if victim is None:
                victim = self._pick_oldest()
            if victim is None:
                return Decision(False)
            closes.append(self._evict(victim))
        connection = _Connection(self._clock.now_ms())
        self._by_key[key] = connection
        self._by_phase[Phase.IDLE][key] = None
        self.held_bytes += connection.cost
        closes.extend(self._make_room(key, connection))
        return Decision(True, tuple(closes))

    def closed(self, key: object) -> None:
        """Removes a connection; unknown ones are ignored."""
        connection = self._by_key.pop(key, None)
        if connection is None:
            return
        del self._by_phase[connection.phase][key]
        self._bodies.pop(key, None)
        self.held_bytes -= connection.cost
        self._paused -= connection.paused

    def enter(self, key: object, phase: Phase, payload: int = 0) -> Decision:
        """Moves a connection to a phase in which it holds `payload` bytes."""
        connection = self._by_key.get(key)
        if connection is None:
            return Decision(False)
        if phase is not connection.phase:
            del self._by_phase[connection.phase][key]
            self._by_phase[phase][key] = None
            self._bodies.pop(key, None)
            if phase is Phase.BODY:
                self._bodies[key] = None
            connection.phase = phase
            connection.began_ms = connection.marked_ms = self._clock.now_ms()
            connection.unmarked_bytes = 0
            connection.large = False
        return self._hold(key, connection, payload)

    def paused(self, key: object) -> Decision:
        """Reports that a connection is not read for now.

        The kernel holds what arrives meanwhile.
        """
        connection = self._by_key.get(key)
        if connection is None:
            return Decision(False)
        if connection.paused:
            return _GRANTED
        connection.paused = True
        self._paused += 1
        connection.cost += PAUSED_BYTES
        self.held_bytes += PAUSED_BYTES
        closes = self._make_room(key, connection)
        fits = self.held_bytes <= self._limit_bytes(connection)
        return Decision(fits, tuple(closes))

    def resumed(self, key: object) -> None:
        """Reports that a connection is read again."""
        connection = self._by_key.get(key)
        if connection is None or not connection.paused:
            return
        connection.paused = False
        self._paused -= 1
        connection.cost -= PAUSED_BYTES
        self.held_bytes -= PAUSED_BYTES
        # The time in which it was not read is not the client's.
        connection.marked_ms = self._clock.now_ms()
        self._by_phase[connection.phase].move_to_end(key)

    def received(self, key: object, size: int, payload: int) -> Decision:
        """Reports received bytes of a head or a body.

        Args:
          key: the connection.
          size: bytes received now.
          payload: bytes of the head or the body that are held.
        """
        connection = self._by_key.get(key)
        if connection is None:
            return Decision(False)
        connection.unmarked_bytes += size
        if (
            connection.phase is Phase.BODY
            and connection.unmarked_bytes >= PROGRESS_BYTES
        ):
            connection.unmarked_bytes = 0
            connection.marked_ms = self._clock.now_ms()
            self._by_phase[Phase.BODY].move_to_end(key)
        return self._hold(key, connection, payload)

    def expired(self) -> list[Close]:
        """Returns the connections whose time is over."""
        closes = []
        limits = self.limits
        for phase, limit_ms, reason in (
            (Phase.IDLE, limits.idle_ms, Reason.IDLE),
            (Phase.HEAD, limits.head_ms, Reason.HEAD_TOO_SLOW),
            (Phase.BODY, limits.body_stall_ms, Reason.BODY_TOO_SLOW),
            (Phase.SENDING, limits.unread_ms, Reason.NOT_READ),
            (Phase.DRAINING, limits.drain_ms, Reason.DRAINED),
        ):
            until_ms = self._clock.now_ms() - limit_ms
            for key in self._by_phase[phase]:
                if self._by_key[key].marked_ms > until_ms:
                    break
                closes.append(Close(key, phase, reason))
        until_ms = self._clock.now_ms() - limits.body_ms
        for key in self._by_phase[Phase.BODY]:
            connection = self._by_key[key]
            # Those without progress were added above.
            stalled_ms = self._clock.now_ms() - connection.marked_ms
            if connection.began_ms > until_ms:
                continue
            if stalled_ms < limits.body_stall_ms:
                closes.append(Close(key, Phase.BODY, Reason.BODY_TOO_SLOW))
        return closes

    def _hold(
        self, key: object, connection: _Connection, payload: int
    ) -> Decision:
        # A body is announced with its length before it arrives.
        connection.large |= payload > SMALL_REQUEST_BYTES
        cost = _cost(connection.phase, payload)
        if connection.paused:
            cost += PAUSED_BYTES
        grown = cost - connection.cost
        self.held_bytes += grown
        connection.cost = cost
        if grown <= 0 or connection.phase in (Phase.SENDING, Phase.DRAINING):
            return _GRANTED
        closes = self._make_room(key, connection)
        fits = self.held_bytes <= self._limit_bytes(connection)
        return Decision(fits, tuple(closes))

    def _limit_bytes(self, connection: _Connection) -> int:
        """Returns the memory up to which a connection may take more."""
        budget = self.budget_bytes
        if connection.large:
            return int(budget * (1 - SMALL_REQUEST_SHARE))
        return budget

    def _make_room(self, key: object, connection: _Connection) -> list[Close]:
        """Makes others yield until the connections fit into the budget."""
        limit = self._limit_bytes(connection)
        closes = []
        while self.held_bytes > limit:
            victim = self._pick_victim(STALL_MS, but=key)
            if victim is None:
                break
            closes.append(self._evict(victim))
        return closes

    def _pick_victim(self, stall_ms: int, but: object = None) -> object | None:
        """Returns the connection that yields first, None if none does.

        Closing an idle connection loses no request, so these yield first, and
        those go on whose request is being handled. Among heads and bodies the
        one without progress for longest yields, and last a body that makes
        little progress.
        """
        until_ms = self._clock.now_ms() - stall_ms
        for phases in _YIELDING_PHASES:
            marked_ms, key = self._oldest(phases, but)
            if key is not None and marked_ms <= until_ms:
                return key
        return self._slow_body(but)

    def _slow_body(self, but: object) -> object | None:
        """Returns the body that has taken longest, if that is too long."""
        until_ms = self._clock.now_ms() - SLOW_BODY_MS
        for key in self._bodies:
            if key is not but:
                began_ms = self._by_key[key].began_ms
                return key if began_ms <= until_ms else None
        return None

    def _pick_oldest(self) -> object | None:
        """Returns the connection without progress for longest."""
        phases = [phase for group in _YIELDING_PHASES for phase in group]
        return self._oldest(phases)[1]

    def _oldest(
        self, phases: Iterable[Phase], but: object = None
    ) -> tuple[int, object | None]:
        oldest = (0, None)
        for phase in phases:
            for key in self._by_phase[phase]:
                if key is but:
                    continue
                marked_ms = self._by_key[key].marked_ms
                if oldest[1] is None or marked_ms < oldest[0]:
                    oldest = (marked_ms, key)
                break
        return oldest

    def _evict(self, key: object) -> Close:
        phase = self._by_key[key].phase
        self.closed(key)
        return Close(key, phase, Reason.YIELDED)


def _cost(phase: Phase, payload: int) -> int:
    """Returns the memory of a connection that holds `payload` bytes."""
    match phase:
        case Phase.HEAD:
            return CONNECTION_BYTES + HEAD_FACTOR * payload
        case Phase.BODY:
            return CONNECTION_BYTES + BODY_FACTOR * payload
        case Phase.HANDLING:
            return CONNECTION_BYTES + HANDLED_FACTOR * payload
        case Phase.SENDING:
            return CONNECTION_BYTES + payload
    return CONNECTION_BYTES
