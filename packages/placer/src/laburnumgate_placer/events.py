"""Numbered log events, documented in docs/placer-events.md.

Numbers 1xxx belong to hosts that run on a platform: 10xx the process, 11xx
the log and the configuration, 12xx callers' requests, 13xx placement, 14xx
endpoints, 15xx maintenance of machines. Numbers are never reused.
"""

import enum
import logging

MAX_TEXT_CHARS = 500


class Event(enum.Enum):
    """Log events with their number, message and level."""

    STARTED = (1000, "host started")
    READY = (1001, "host became ready or stopped being so")
    STOPPING = (1002, "host is stopping")
    STOPPED = (1003, "host stopped")
    SETTINGS_RELOADED = (1004, "settings were read again")
    SETTINGS_REFUSED = (1005, "settings cannot be used", logging.WARNING)
    LINES_DROPPED = (1006, "log lines were dropped", logging.WARNING)
    TASK_FAILED = (1007, "a background task failed", logging.ERROR)
    FEED_LOST = (1100, "the log does not answer", logging.WARNING)
    FEED_REGAINED = (1101, "the log answers again")
    RECORD_SKIPPED = (1102, "unreadable record skipped", logging.WARNING)
    HISTORY_GONE = (1103, "records expired; reading the newest ones")
    CONFIG_IN_FORCE = (1104, "configuration is in force")
    ZONE_CHANGED = (1105, "zone was taken out of service or back")
    LEAD_TAKEN = (1110, "this host leads")
    LEAD_LOST = (1111, "this host no longer leads")
    LEAD_RECOVERED = (1112, "the leader has read the state of all jobs")
    ACCEPTED = (1200, "job accepted")
    REFUSED = (1201, "request refused")
    CANCELLED = (1202, "job cancelled by its caller")
    REPEATED = (1203, "job was submitted before")
    IN_DOUBT = (1204, "the fate of a submission is unknown", logging.WARNING)
    CALLER_GONE = (1205, "caller left before its answer was sent")
    CONNECTIONS_REFUSED = (
        1206,
        "connections were closed or requests refused before being handled",
        logging.WARNING,
    )
    ACCEPT_FAILED = (1207, "a client was not accepted", logging.WARNING)
    CANCELLED_EARLY = (1208, "an unknown job was cancelled by its caller")
    ASSIGNED = (1300, "run assigned")
    STARTED_RUN = (1301, "run started")
    START_FAILED = (1302, "run could not be started", logging.WARNING)
    RUN_STOPPED = (1303, "run is being stopped")
    RUN_ENDED = (1304, "run ended")
    JOB_STATE = (1305, "job changed its state")
    RUN_ADOPTED = (1306, "run of an earlier leader adopted")
    STRAY_STOPPED = (1307, "unknown run is being stopped", logging.WARNING)
    PACED = (1308, "pace of a task changed")
    NOT_PLACED = (1309, "unit waits for capacity")
    MEMBER_LOST = (1311, "task was lost with its endpoint", logging.WARNING)
    ACCOUNT_HELD = (1312, "account is held back by its limit")
    ACCOUNT_RELEASED = (1313, "account is no longer held back")
    HEADROOM_CHANGED = (1314, "endpoints reserved for urgent gangs changed")
    RUN_MOVED = (1315, "run is moved off an endpoint")
    TASK_OVER = (1317, "task is over")
    PASS_LONG = (1316, "placement pass took long", logging.WARNING)
    ENDPOINT_FOUND = (1400, "endpoint joined the live list")
    ENDPOINT_CHANGED = (1401, "endpoint changed its state")
    ENDPOINT_LOST = (1402, "endpoint does not answer", logging.WARNING)
    ENDPOINT_REGAINED = (1403, "endpoint answers again")
    ENDPOINT_OVER = (1404, "the endpoint's life is over")
    ADVICE_MISSING = (1310, "no advice on a step", logging.WARNING)
    ENDPOINT_SUSPECT = (1405, "endpoint is avoided", logging.WARNING)
    ENDPOINT_RESTARTED = (1406, "endpoint restarted under its id")
    ORDERS_IN_DOUBT = (1407, "start orders to the endpoint are in doubt")
    ORDERS_SETTLED = (1408, "no start order to the endpoint is in doubt")
    UPKEEP_ORDERED = (1500, "upkeep of a machine ordered")
    WAVE_STATE = (1501, "a wave of upkeep changed its state")

    def __init__(self, number: int, text: str, level: int = logging.INFO):
        self.number = number
        self.text = text
        self.level = level


def emit(logger: logging.Logger, event: Event, **fields) -> None:
    """Logs an event with its number and the given fields.

    Texts are cut to `MAX_TEXT_CHARS`, as some come from callers.
    """
    if not logger.isEnabledFor(event.level):
        return
    extra = {"event": event.number}
    for name, value in fields.items():
        if isinstance(value, str) and len(value) > MAX_TEXT_CHARS:
            value = value[:MAX_TEXT_CHARS] + "..."
        extra[name] = value
    logger.log(event.level, event.text, extra=extra)
