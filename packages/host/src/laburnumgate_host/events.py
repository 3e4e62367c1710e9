"""Numbered log events, catalogued in docs/events.md."""

import enum
import logging


class Event(enum.Enum):
    """Number, message, level and fields of each event.

    Numbers below 200 concern the process, 2xx the log and the configuration,
    3xx scheduling, 4xx endpoints, 5xx other hosts, 9xx internal errors.
    A number is never reused for another event.
    """

    HOST_STARTED = (100, "host started")
    HOST_READY = (101, "host is ready")
    HOST_LEAVING = (102, "host is leaving")
    HOST_STOPPED = (103, "host stopped")
    HOST_PAUSED = (104, "process was paused", logging.WARNING)
    SHUTDOWN_CUT = (
        105,
        "shutdown grace ended before all work was done",
        logging.WARNING,
        ("unsent_records", "open_requests"),
    )
    LOG_UNREACHABLE = (
        200,
        "log is unreachable",
        logging.WARNING,
        ("reason",),
    )
    LOG_REACHABLE = (201, "log is reachable again")
    LOG_GAP = (
        202,
        "log no longer holds records that are needed",
        logging.ERROR,
        ("stream", "wanted", "first"),
    )
    ENTRY_SKIPPED = (
        203,
        "malformed log entry skipped",
        logging.WARNING,
        ("offset",),
    )
    SNAPSHOT_WRITTEN = (
        204,
        "snapshot was written to the log",
        logging.INFO,
        ("stream", "offset", "chunks"),
    )
    STATE_ADOPTED = (
        205,
        "state was taken from a snapshot or a peer",
        logging.INFO,
        ("stream", "source", "offset"),
    )
    STATE_UNUSABLE = (
        206,
        "state of a snapshot or a peer cannot be used",
        logging.ERROR,
        ("stream", "source", "reason"),
    )
    CONFIG_APPLIED = (
        210,
        "configuration change is in force",
        logging.INFO,
        ("offset",),
    )
    CONFIG_REJECTED = (
        211,
        "configuration change was not taken",
        logging.INFO,
        ("offset",),
    )
    PLACING_STARTED = (
        300,
        "host places for its zone",
        logging.INFO,
        ("zone",),
    )
    PLACING_STOPPED = (
        301,
        "host no longer places for its zone",
        logging.INFO,
        ("zone",),
    )
    ZONE_STOP_TAKEN = (
        302,
        "direct order for a zone's starts is in force",
        logging.INFO,
        ("zone", "stopped", "operation", "in_force"),
    )
    ZONE_ISOLATED = (
        303,
        "starts stopped: nothing heard from outside the zone",
        logging.WARNING,
    )
    JOBS_MOVED = (
        304,
        "queued jobs move to other zones",
        logging.INFO,
        ("count",),
    )
    JOB_ENDED = (310, "job ended", logging.INFO, ("job", "verdict"))
    ENDPOINT_LOST = (
        400,
        "endpoint does not answer",
        logging.WARNING,
        ("endpoint",),
    )
    TASK_CRASHED = (
        900,
        "internal task failed and is restarted",
        logging.ERROR,
    )

    def __init__(
        self,
        number: int,
        text: str,
        level: int = logging.INFO,
        fields: tuple[str, ...] = (),
    ):
        self.number = number
        self.text = text
        self.level = level
        self.fields = fields


def emit(
    logger: logging.Logger, event: Event, level: int | None = None, **fields
) -> None:
    """Logs an event with its number and fields.

    Args:
      logger: the logger of the module that reports the event.
      event: the event, which defines the message and the default level.
      level: overrides the event's level.
      **fields: values of the fields that the event declares.
    """
    extra = {"event": event.number, "event_name": event.name.lower()}
    extra.update(fields)
    logger.log(event.level if level is None else level, event.text, extra=extra)
