"""Calculates how much more an account may start under its limit.

An amount of 0 in a limit means that the resource is not limited. A resource
that a task does not need never holds the task back.
"""

from collections.abc import Iterable

from laburnumgate_placer import model

NO_LIMIT = model.Resources()
# Number of tasks that may start where nothing is limited.
UNLIMITED = 1_000_000
RESOURCES = ("cpu", "mem_mb", "gpu")
# Part of the pool that the tasks of one step may use at once. The objective of
# a wider step allows for several waves.
WAVE_POOL_PART = 0.25


def strictest(limits: Iterable[model.Resources]) -> model.Resources:
    """Returns the smallest limit on each resource."""
    cpu = mem_mb = gpu = 0
    for limit in limits:
        cpu = _smaller(cpu, limit.cpu)
        mem_mb = _smaller(mem_mb, limit.mem_mb)
        gpu = _smaller(gpu, limit.gpu)
    return model.Resources(cpu, mem_mb, gpu)


def count_allowed(
    limit: model.Resources, usage: model.Resources, task: model.Resources
) -> int:
    """Returns how many more tasks of a size may start."""
    most = UNLIMITED
    if limit.cpu > 0 and task.cpu > 0:
        most = min(most, (limit.cpu - usage.cpu) // task.cpu)
    if limit.mem_mb > 0 and task.mem_mb > 0:
        most = min(most, (limit.mem_mb - usage.mem_mb) // task.mem_mb)
    if limit.gpu > 0 and task.gpu > 0:
        most = min(most, (limit.gpu - usage.gpu) // task.gpu)
    return max(0, most)


def waves(step: model.Step, limit: model.Resources, pool_slots: int) -> int:
    """Returns in how many waves the tasks of a step have to run.

    Args:
      step: the step; a gang always runs at once.
      limit: limit of its account.
      pool_slots: how many tasks of the step the pool could run; 0 if unknown.
    """
    if step.gang or step.count <= 1:
        return 1
    at_once = count_allowed(limit, NO_LIMIT, step.room)
    if pool_slots > 0:
        at_once = min(at_once, int(WAVE_POOL_PART * pool_slots))
    return -(-step.count // max(1, at_once))


def exceeded(
    limit: model.Resources, usage: model.Resources, task: model.Resources
) -> str | None:
    """Returns a resource of the task whose limit the usage exceeds, or None."""
    if limit.cpu > 0 and task.cpu > 0 and usage.cpu > limit.cpu:
        return "cpu"
    if limit.mem_mb > 0 and task.mem_mb > 0 and usage.mem_mb > limit.mem_mb:
        return "mem_mb"
    if limit.gpu > 0 and task.gpu > 0 and usage.gpu > limit.gpu:
        return "gpu"
    return None


def scarcest(
    limit: model.Resources, usage: model.Resources, task: model.Resources
) -> str:
    """Returns the resource of the task whose limit is used up most."""
    found = [
        (getattr(usage, name) / getattr(limit, name), name)
        for name in RESOURCES
        if getattr(limit, name) > 0 and getattr(task, name) > 0
    ]
    return max(found)[1]


def _smaller(known: int, amount: int) -> int:
    if amount <= 0:
        return known
    return min(known, amount) if known else amount
