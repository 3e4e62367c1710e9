"""What each client account has running, as far as the leader can know."""

from laburnumgate_placer import model
from laburnumgate_placer import progress

_NONE = model.Resources()


class UsageLedger:
    """Resources of all members that may run or may still start, by account.

    A member counts from its assignment, or its adoption by a new leader, until
    it is marked as terminated. The ledger knows which members it has counted,
    so that the state of their endpoints, which may be that of a later
    incarnation, has no influence.
    """

    def __init__(self):
        self._counted: set[progress.Member] = set()
        self._usage_by_account: dict[str, model.Resources] = {}
        self._changes_by_account: dict[str, int] = {}

    def add(self, member: progress.Member) -> None:
        """Counts a member; has no effect if it is counted or terminated."""
        if member in self._counted or member.terminated:
            return
        self._counted.add(member)
        self._change(member, 1)

    def remove(self, member: progress.Member) -> None:
        """Stops counting a member; has no effect if it is not counted."""
        if member not in self._counted:
            return
        self._counted.discard(member)
        self._change(member, -1)

    def usage(self, account: str) -> model.Resources:
        """Returns what an account may have running."""
        return self._usage_by_account.get(account, _NONE)

    def changes(self, account: str) -> int:
        """Returns how often the usage of an account has changed."""
        return self._changes_by_account.get(account, 0)

    def accounts(self) -> list[str]:
        """Returns the accounts that had anything running in this term."""
        return list(self._usage_by_account)

    def _change(self, member: progress.Member, sign: int) -> None:
        unit = member.run.unit
        account = unit.entry.job.account
        self._usage_by_account[account] = self.usage(account).plus(
            unit.step.room, sign
        )
        self._changes_by_account[account] = self.changes(account) + 1
