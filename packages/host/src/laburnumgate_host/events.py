"""Numbered log events; docs/events.md is their catalogue."""

import enum
import logging


class Event(enum.Enum):
    """Number and meaning of each event."""

    HOST_STARTED = (100, "host started")
    HOST_READY = (101, "host is ready")
    HOST_LEAVING = (102, "host is leaving")
    HOST_STOPPED = (103, "host stopped")
    HOST_PAUSED = (104, "process was paused")
    SHUTDOWN_CUT = (105, "shutdown grace ended before all work was done")
    LOG_UNREACHABLE = (200, "log is unreachable")
    LOG_REACHABLE = (201, "log is reachable again")
    LOG_GAP = (202, "log no longer holds records that are needed")
    ENTRY_SKIPPED = (203, "malformed log entry skipped")
    CONFIG_APPLIED = (210, "configuration change is in force")
    CONFIG_REJECTED = (211, "configuration change was not taken")
    PLACING_STARTED = (300, "host places for its zone")
    PLACING_STOPPED = (301, "host no longer places for its zone")
    ZONE_STOP_TAKEN = (302, "direct order for a zone's starts is in force")
    ZONE_ISOLATED = (303, "starts stopped: nothing heard from outside the zone")
    JOBS_MOVED = (304, "queued jobs move to other zones")
    JOB_ENDED = (310, "job ended")
    ENDPOINT_LOST = (400, "endpoint does not answer")
    ENDPOINT_FAILED = (401, "call to an endpoint failed")
    PEER_UNREACHABLE = (500, "peer does not answer")
    TASK_CRASHED = (900, "internal task failed and is restarted")

    @property
    def number(self) -> int:
        """The event's number, never used again for another meaning."""
        return self.value[0]

    @property
    def text(self) -> str:
        """The event's message."""
        return self.value[1]


def emit(
    logger: logging.Logger, event: Event, level: int = logging.INFO, **fields
) -> None:
    """Logs an event with its number and fields."""
    extra = {"event": event.number, "event_name": event.name.lower()}
    extra.update(fields)
    logger.log(level, event.text, extra=extra)
