"""Tests of how long a host's submissions may be under way."""

import socket

from laburnumgate_placer import early_cancels
from laburnumgate_placer import writer
import laburnumgated

# A call without an answer may be executed by the store this much later.
_STORE_DELAY_MS = 20_000


def test_a_submission_arrives_while_its_cancellation_is_kept():
    """Guards against a job that is stored when its cancellation has expired.

    The kernel would go on sending for some 15 minutes, also after the process
    was killed.
    """
    address = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 1))
    with laburnumgated._open_socket(address) as opened:
        unacknowledged_ms = opened.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
    latest_ms = (
        writer.SUBMISSION_LIFETIME_MS + unacknowledged_ms + _STORE_DELAY_MS
    )
    assert unacknowledged_ms > 0
    assert latest_ms < early_cancels.LIFETIME_MS - early_cancels.REFRESH_MS
