"""Applies the shares of accounts to the work that waits in a placement pass."""

from laburnumgate_placer import model
from laburnumgate_placer import tables as tables_module
from laburnumgate_placer.accounts import shares

# Pause of the shares after an unexpected error, so that the log is not flooded.
ERROR_PAUSE_MS = 5_000


def in_use(tables: tables_module.Tables) -> bool:
    """Whether the order depends on accounts at all."""
    return tables.policy.equal_account_shares or tables.config.has_weights()


class Standings:
    """Standings of waiting work during one pass.

    What is needed of the pool and of an account is computed when it is first
    asked for.
    """

    def __init__(self, tables: tables_module.Tables, now_ms: int):
        self._tables = tables
        self._now_ms = now_ms
        self._contended_by_service: dict[str, bool] = {}
        self._share_by_account: dict[str, int] = {}
        self._weights: shares.Weights | None = None

    def contended(self) -> bool:
        """Whether any service has too little room."""
        services = self._tables.capacity.services()
        return any(self._is_contended(service) for service in services)

    def of(
        self, job: model.Job, service: str, rank_class: tuple
    ) -> shares.Standing | None:
        """Returns the standing of work, None if its service has room.

        Args:
          job: its job.
          service: service that runs it.
          rank_class: what it has in common with the work of the service that it
            is compared with.
        """
        if not self._is_contended(service):
            return None
        return shares.Standing(
            (service, rank_class),
            is_excess(self._tables, job),
            self._share(job.account),
        )

    def _is_contended(self, service: str) -> bool:
        found = self._contended_by_service.get(service)
        if found is None:
            found = self._has_little_room(service)
            self._contended_by_service[service] = found
        return found

    def _has_little_room(self, service: str) -> bool:
        tables = self._tables
        free_cpu = free_gpu = 0
        for state in tables.endpoints.usable(
            service, tables.config.zones_out, self._now_ms
        ):
            capacity = state.info.capacity
            free_cpu += max(0, capacity.cpu - state.used.cpu)
            free_gpu += max(0, capacity.gpu - state.used.gpu)
        return shares.is_contended(
            model.Resources(cpu=free_cpu, gpu=free_gpu),
            tables.capacity.of(service),
        )

    def _share(self, account: str) -> int:
        found = self._share_by_account.get(account)
        if found is None:
            if self._weights is None:
                self._weights = weights(self._tables)
            found = shares.dominant_share(
                self._tables.usage.usage(account),
                self._tables.capacity.total(),
                self._weights.of(account),
            )
            self._share_by_account[account] = found
        return found


def of_pass(tables: tables_module.Tables, now_ms: int) -> Standings | None:
    """Returns the standings for a pass, None without contention."""
    found = Standings(tables, now_ms)
    return found if found.contended() else None


def weights(tables: tables_module.Tables) -> shares.Weights:
    """Returns the weights of all accounts."""
    config = tables.config.current
    accounts = config.accounts_by_name if config is not None else {}
    return shares.relative_weights(
        {name: account.weight for name, account in accounts.items()},
        equal=tables.policy.equal_account_shares,
    )


def is_excess(tables: tables_module.Tables, job: model.Job) -> bool:
    """Whether a job exceeds the rate of its account."""
    weight = tables.config.weight(job.account)
    if weight <= 0:
        return False
    return tables.jobs.submissions().is_excess(
        job, weight, tables.bounds.rate_window_ms
    )


def count_excess(tables: tables_module.Tables) -> dict[str, int]:
    """Returns the number of open jobs that exceed the rate of an account.

    Accounts without any are not listed.
    """
    found: dict[str, int] = {}
    if not tables.config.has_weights():
        return found
    for entry in tables.entries_by_id.values():
        if not entry.state.final and is_excess(tables, entry.job):
            account = entry.job.account
            found[account] = found.get(account, 0) + 1
    return found
