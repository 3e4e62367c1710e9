"""Reads declarations and plans, writes plans and checks host settings."""

import dataclasses
import json
import pathlib
from typing import Any

from laburnumgate_core import declarations
from laburnumgate_host import settings as host_settings

from laburnumgate_cli import errors

PLAN_VERSION = 1


def read_declarations(
    paths: tuple[pathlib.Path, ...],
) -> declarations.Declarations:
    """Reads declaration files and the `*.toml` files of folders.

    Raises:
      ClientError: if there are problems; the message has a line for each.
    """
    parsed = declarations.parse(_read_files(paths))
    if parsed.problems:
        raise _problems_error(parsed.problems)
    return parsed


def check(
    paths: tuple[pathlib.Path, ...], settings_paths: tuple[pathlib.Path, ...]
) -> list[str]:
    """Validates files offline and returns one line for each problem."""
    lines = []
    for path in settings_paths:
        try:
            host_settings.load(path.read_text())
        except host_settings.SettingsError as error:
            lines += [f"{path}: {line}" for line in str(error).splitlines()]
        except UnicodeDecodeError:
            lines.append(f"{path}: is not UTF-8 text")
    if paths:
        parsed = declarations.parse(_read_files(paths))
        lines += [str(problem) for problem in declarations.check(parsed)]
    return lines


def write_plan(path: pathlib.Path, plan: declarations.Plan) -> None:
    """Writes the changes of a plan to a file for `read_plan`."""
    changes = [dataclasses.asdict(c) for c in declarations.changes(plan)]
    document = {
        "version": PLAN_VERSION,
        "offset": plan.offset,
        "changes": changes,
    }
    path.write_text(json.dumps(document, indent=2) + "\n")


def read_plan(path: pathlib.Path) -> list[dict[str, Any]]:
    """Returns the changes from a plan file written by `write_plan`.

    Raises:
      ClientError: if the file is not a plan or has another version.
    """
    try:
        document = json.loads(path.read_text())
        if document["version"] != PLAN_VERSION:
            raise errors.ClientError(
                f"{path}: unsupported plan version {document['version']}, "
                f"expected {PLAN_VERSION}",
                errors.Exit.USAGE,
            )
        return [
            {name: change[name] for name in ("key", "value", "replaces")}
            for change in document["changes"]
        ]
    except (ValueError, KeyError, TypeError):
        raise errors.ClientError(
            f"{path}: not a plan written by 'laburnumgate plan --out'",
            errors.Exit.USAGE,
        ) from None


def _read_files(paths: tuple[pathlib.Path, ...]) -> dict[str, str]:
    files: list[pathlib.Path] = []
    for path in paths:
        files += sorted(path.glob("*.toml")) if path.is_dir() else [path]
    if not files:
        raise errors.ClientError(
            f"no *.toml file in {', '.join(str(path) for path in paths)}",
            errors.Exit.USAGE,
        )
    try:
        return {str(path): path.read_text() for path in files}
    except UnicodeDecodeError:
        raise errors.ClientError(
            "a declaration file is not UTF-8 text", errors.Exit.USAGE
        ) from None


def _problems_error(
    problems: tuple[declarations.Problem, ...],
) -> errors.ClientError:
    lines = [str(problem) for problem in problems]
    return errors.ClientError("\n".join(lines), errors.Exit.USAGE)
