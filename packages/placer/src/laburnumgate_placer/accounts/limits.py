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
