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
        # Dictionaries without values, which keep the order of assignment.
        self._members_by_account: dict[str, dict[progress.Member, None]] = {}
        self._usage_by_account: dict[str, model.Resources] = {}
        self._changes_by_account: dict[str, int] = {}

    def add(self, member: progress.Member) -> None:
        """Counts a member; has no effect if it is counted or terminated."""
        counted = self._members_by_account.setdefault(_account(member), {})
        if member in counted or member.terminated:
            return
        counted[member] = None
        self._change(member, 1)

    def remove(self, member: progress.Member) -> None:
        """Stops counting a member; has no effect if it is not counted."""
        counted = self._members_by_account.get(_account(member), {})
        if member not in counted:
            return
        del counted[member]
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

    def runs(self, account: str) -> list[progress.Run]:
        """Returns the runs with counted members, in order of assignment."""
        members = self._members_by_account.get(account, {})
        return list({id(member.run): member.run for member in members}.values())

    def _change(self, member: progress.Member, sign: int) -> None:
        account = _account(member)
        self._usage_by_account[account] = self.usage(account).plus(
            member.run.unit.step.room, sign
        )
        self._changes_by_account[account] = self.changes(account) + 1


def _account(member: progress.Member) -> str:
    return member.run.unit.entry.job.account
