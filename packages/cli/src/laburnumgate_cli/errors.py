"""The one error that a person sees, and the exit codes of the command."""

import enum


class Exit(enum.IntEnum):
    """Exit codes; `laburnumgate --help` lists them."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNDECIDED = 5
    PENDING = 6
    REFUSED = 7


class ClientError(Exception):
    """A sentence for the person at the terminal, and the exit code."""

    def __init__(self, sentence: str, code: Exit = Exit.FAILED):
        super().__init__(sentence)
        self.code = code
