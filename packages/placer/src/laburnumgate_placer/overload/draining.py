"""Which runs are stopped when their endpoint starts to drain.

Load pattern: endpoints are taken away at short notice while the pool is full. A
run that does not end in time is lost with its endpoint, and its task starts
again only after the last lease has certainly expired, some seconds later. A
run that is stopped at once starts again as soon as there is room.
"""

# Expected durations are off by half. A run that cannot resume is stopped only
# if even this share of its expected remaining time exceeds the notice.
NOT_RESUMABLE_SHARE = 0.67


def should_stop(
    remaining_ms: float, notice_ms: int, *, resumes: bool, move_all: bool
) -> bool:
    """Whether a run is stopped because its endpoint drains.

    Args:
      remaining_ms: expected remaining time of the run.
      notice_ms: minimum time until the endpoint shuts down.
      resumes: whether the run resumes from a checkpoint.
      move_all: whether runs that cannot resume are stopped as well.
    """
    if resumes:
        return remaining_ms > notice_ms
    return move_all and NOT_RESUMABLE_SHARE * remaining_ms > notice_ms
