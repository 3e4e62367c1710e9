"""Cancellations of jobs that were not known at the time.

A submission may be stored after its caller was told that it is in doubt, and
after the job was cancelled at another host, which knew of no such job. A
cancellation that is stored applies to it whatever the order of the two.
"""

import hashlib

# How long a cancellation is kept. A submission is not sent for longer than
# `writer.SUBMISSION_LIFETIME_MS`, is under way for less than the timeout of
# unacknowledged data (30 s), and is stored 20 s later at most.
LIFETIME_MS = 180_000
# Age from which a repeated cancellation is stored anew, as the rest of the
# lifetime might not suffice.
REFRESH_MS = LIFETIME_MS // 2
# Maximum numbers of cancellations that are kept.
MAX_COUNT = 5_000
MAX_COUNT_PER_ACCOUNT = 1_000
# Limits of the time after which a caller beyond these numbers may come back.
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 20_000


def digest(account: str) -> str:
    """Returns the name of an account as part of a record's key."""
    return hashlib.blake2b(account.encode(), digest_size=16).hexdigest()


class EarlyCancels:
    """The cancellations that are stored, by account and job id."""

    def __init__(self):
        # Unix ms of each by job id, the oldest first, by the digest of the
        # account.
        self._at_ms_by_account: dict[str, dict[str, int]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._at_ms_by_account.values()))

    def add(self, job_id: str, account_digest: str, at_ms: int) -> None:
        """Adds a cancellation; `at_ms` is its Unix time in ms."""
        by_id = self._at_ms_by_account.setdefault(account_digest, {})
        by_id.pop(job_id, None)
        by_id[job_id] = at_ms

    def remove(self, job_id: str, account_digest: str) -> None:
        """Removes a cancellation that has expired."""
        by_id = self._at_ms_by_account.get(account_digest, {})
        by_id.pop(job_id, None)
        if not by_id:
            self._at_ms_by_account.pop(account_digest, None)

    def cover(self, job_id: str, account: str) -> bool:
        """Whether a job of this id and account was cancelled."""
        if account:
            return job_id in self._at_ms_by_account.get(digest(account), {})
        # Every account may cancel a job that belongs to none.
        return any(job_id in each for each in self._at_ms_by_account.values())

    def lasting(self, job_id: str, account: str, now_ms: int) -> bool:
        """Whether a cancellation by an account lasts long enough for another.

        Args:
          job_id: id of the job.
          account: account of the caller.
          now_ms: Unix time.
        """
        by_id = self._at_ms_by_account.get(digest(account), {})
        at_ms = by_id.get(job_id)
        return at_ms is not None and abs(now_ms - at_ms) < REFRESH_MS

    def retry_after_ms(self, account: str, now_ms: int) -> int | None:
        """Returns when an account may cancel another unknown job.

        Args:
          account: account of the caller.
          now_ms: Unix time.

        Returns:
          The time to wait in ms, or None if it may do so now.
        """
        own = self._at_ms_by_account.get(digest(account), {})
        if len(own) >= MAX_COUNT_PER_ACCOUNT:
            oldest_ms = next(iter(own.values()))
        elif len(self) >= MAX_COUNT:
            oldest_ms = min(
                next(iter(each.values()))
                for each in self._at_ms_by_account.values()
            )
        else:
            return None
        left_ms = oldest_ms + LIFETIME_MS - now_ms
        return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, left_ms))

    def expired(self, now_ms: int) -> list[tuple[str, str]]:
        """Returns job id and account digest of those to remove.

        Args:
          now_ms: Unix time. Times that are as far ahead count as well, as the
            clock of their host may have been wrong.
        """
        return [
            (job_id, account_digest)
            for account_digest, by_id in self._at_ms_by_account.items()
            for job_id, at_ms in by_id.items()
            if abs(now_ms - at_ms) > LIFETIME_MS
        ]
