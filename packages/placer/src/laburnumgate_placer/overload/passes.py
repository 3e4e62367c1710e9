"""Limits on the work of one placement pass.

Load pattern: thousands of tasks wait, and a pass that looks ahead for each of
them occupies the process for longer than other hosts wait for a heartbeat. A
job within the limit of a request body has thousands of steps or tasks. What a
pass does therefore is bounded for each job, and in time for all of them.
"""

from laburnumgate_placer.overload import dispatch

# Maximum number of units of a pass for which the ends of running work and
# possible stops are searched. The others wait for a later pass.
MAX_LOOKAHEADS = 6
# How long the result of such a search is used.
LOOKAHEAD_VALID_MS = 150
# Maximum number of searches of a pass for work that units of accounts at their
# limits may stop. They are counted apart from the searches above, so that an
# account at its limit delays no search for other accounts.
MAX_DISPLACEMENTS = 1
# How long such a search is not repeated while the usage of the account and its
# limit stay the same. Runs may be stopped only some time after their start.
DISPLACEMENT_VALID_MS = 300
# Maximum number of steps of one job that a pass considers. Half of them change
# with each pass, so that each step has its turn.
MAX_STEPS_PER_JOB = 64
# Number of steps that are ranked between two turns of the event loop.
STEPS_PER_CHUNK = 200
# Maximum number of units of a step that are placed without looking at the time.
MAX_UNITS_AT_ONCE = 100
# Maximum number of tasks of one job that are assigned and not started yet: as
# many as start orders can be under way. Those of other jobs would wait behind
# more of them.
MAX_UNSTARTED_TASKS = dispatch.MAX_CALLS
# How long a pass places steps in rank order, and how long it then goes on with
# those that have not had a turn for the longest time.
RANKED_MS = 100
OTHERS_MS = 30
# Maximum number of stop orders that are begun after a pass.
MAX_STOPS = 1_000
# Minimum interval between passes, and minimum multiple of the duration of the
# last pass that is left to renewals, orders and heartbeats.
MIN_INTERVAL_MS = 4
PAUSE_FACTOR = 1.5
MAX_INTERVAL_MS = 150


def pause_ms(took_ms: float) -> float:
    """Returns the pause after a pass of the given duration."""
    return min(MAX_INTERVAL_MS, max(MIN_INTERVAL_MS, PAUSE_FACTOR * took_ms))
