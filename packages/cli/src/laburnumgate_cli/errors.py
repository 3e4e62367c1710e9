"""The error that the command reports to its user, and the exit codes."""

import enum


class Exit(enum.IntEnum):
    """Exit codes, documented in `laburnumgate --help`."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNDECIDED = 5
    PENDING = 6
    REFUSED = 7


class ClientError(Exception):
    """An error message for the user, with the exit code of the command."""

    def __init__(self, message: str, code: Exit = Exit.FAILED):
        super().__init__(message)
        self.code = code
