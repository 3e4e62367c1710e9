"""Settings of the scheduling policy, from a TOML file of the installation."""

import dataclasses
import pathlib
import tomllib

# Environment variable that holds the path of the policy file.
PATH_VARIABLE = "LABURNUMGATE_POLICY"


class PolicyError(Exception):
    """The policy file is unreadable, or a setting in it is invalid."""


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Optional parts of the scheduling policy.

    Limits and weights of accounts need no setting: they apply where the
    configuration has them.

    Attributes:
      delay_cost_order: whether waiting units, refusals and runs to stop are
        chosen by the cost of a delay.
      equal_account_shares: whether accounts without weights have equal shares
        while there is too little room.
      urgent_headroom: whether patient work is placed so that room for urgent
        gangs remains.
      urgent_on_fastest: whether urgent units go to the fastest free endpoints,
        rather than the slowest that are fast enough.
      drain_moves: whether runs that cannot resume are stopped, to start
        elsewhere, if they will not end before their endpoint shuts down.
      straggler_moves: whether runs that stand still or are far too slow are
        moved.
    """

    delay_cost_order: bool = False
    equal_account_shares: bool = False
    urgent_headroom: bool = False
    urgent_on_fastest: bool = False
    drain_moves: bool = False
    straggler_moves: bool = False


def load(path: pathlib.Path) -> Policy:
    """Loads and checks a policy file.

    Raises:
      PolicyError: The file cannot be read, or a setting is unknown or has the
        wrong type.
    """
    try:
        content = tomllib.loads(path.read_text())
    except OSError as error:
        raise PolicyError(f"cannot read {path.name}: {error}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise PolicyError(f"{path.name} is not valid TOML: {error}") from error
    known = {field.name for field in dataclasses.fields(Policy)}
    for name, value in content.items():
        if name not in known:
            raise PolicyError(f"{path.name}: unknown setting {name!r}")
        if not isinstance(value, bool):
            raise PolicyError(f"{path.name}: {name} must be true or false")
    return Policy(**content)
