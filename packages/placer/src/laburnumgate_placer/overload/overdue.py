"""How much overdue work may precede work that is still worth something.

Load pattern: for minutes, callers submit several times the work that the pool
can do. What was accepted and is too late becomes overdue, and precedes all work
without a guarantee. If it took the whole pool, urgent work would wait for work
whose result is worth nothing to its caller any more: in a simulation with a
backlog that is overdue and gave way before, less than a tenth of the urgent
work starts in time without a limit, and more than nine tenths with this one.

Overdue work therefore precedes other work on a part of the pool only, the
oldest first. At least one unit does, however large it is, and none passes an
older one.
"""

# Part of the pool's capacity on which overdue work precedes other work. It has
# to be small beside the capacity that urgent work needs in bursts, and large
# enough to do what a burst leaves behind within minutes.
SHARE = 0.1


def count_preceding(
    units: int, unit_cores: float, used: float, total: float
) -> int:
    """Returns how many of several equal overdue units precede other work.

    Args:
      units: number of the units.
      unit_cores: cores of one of them, with accelerators converted to cores.
      used: cores of overdue units that precede other work already, running ones
        included.
      total: cores of the pool.
    """
    if unit_cores <= 0:
        return units
    count = int(max(0.0, SHARE * total - used) / unit_cores)
    if used <= 0:
        count = max(1, count)
    return min(units, count)
