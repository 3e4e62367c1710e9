"""Entry point and subcommands of `laburnumgate`.

This module only parses options and prints results; the operations are
implemented in the modules it calls.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import json
import pathlib
import sys
import time
from typing import Any
import uuid

import aiohttp
import click
from laburnumgate_core import declarations
from laburnumgate_placer import explain as explain_module

from laburnumgate_cli import client as client_module
from laburnumgate_cli import errors
from laburnumgate_cli import files
from laburnumgate_cli import operations
from laburnumgate_cli import render
from laburnumgate_cli import requests
from laburnumgate_cli import settings

# Target time for a configuration change to be in force on every host.
PROGRESS_TIMEOUT_MS = 13_000
_PATH = click.Path(exists=True, path_type=pathlib.Path)
_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)

_EPILOG = """\b
Exit codes:
  0  done; a request that was waited for ran
  1  the request ran and failed, or another error
  2  wrong options, or a file that is not valid
  3  conflict: another operator published first, nothing was changed
  4  no host answered
  5  undecided: the request may have run, or the publication may be in force
  6  not finished in time: request pending, or hosts not reached
  7  refused: the request was not run, or the publication is not valid

\b
Examples:
  laburnumgate --host http://127.0.0.1:8080 show
  laburnumgate --host http://127.0.0.1:8080 plan declarations/
  laburnumgate --host http://127.0.0.1:8080 submit --account a --id r1 --wait
"""


@dataclasses.dataclass(frozen=True)
class _Options:
    settings: settings.ClientSettings

    def operator(self) -> str:
        """Returns the operator name that is recorded with a publication."""
        if not self.settings.operator:
            raise errors.ClientError(
                "no operator name: use --operator NAME, the environment "
                "variable LABURNUMGATE_OPERATOR or the settings file",
                errors.Exit.USAGE,
            )
        return self.settings.operator

    def run(
        self, operation: Callable[[client_module.Client], Awaitable[Any]]
    ) -> Any:
        """Runs `operation` with a new client in an event loop."""

        async def run_with_client() -> Any:
            async with aiohttp.ClientSession() as session:
                client = client_module.Client(
                    session, self.settings.urls, self.settings.timeout_ms
                )
                return await operation(client)

        return asyncio.run(run_with_client())


def _exit_on_client_error(function: Callable) -> Callable:
    """Prints a ClientError to stderr and exits with its exit code."""

    @functools.wraps(function)
    def wrapper(*args, **kwargs):
        try:
            return function(*args, **kwargs)
        except errors.ClientError as error:
            click.echo(f"laburnumgate: {error}", err=True)
            sys.exit(int(error.code))

    return wrapper


_json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON."
)
_progress_timeout = click.option(
    "--timeout-ms",
    type=click.IntRange(min=1),
    default=PROGRESS_TIMEOUT_MS,
    show_default=True,
    help="Time to wait until every host has the change in force.",
)


def _print(as_json: bool, value: Any, text: str) -> None:
    click.echo(json.dumps(value, indent=2) if as_json else text)


@click.group(epilog=_EPILOG)
@click.option(
    "--host",
    "hosts",
    multiple=True,
    metavar="URL",
    envvar="LABURNUMGATE_HOSTS",
    help="Base URL of an entry host. Can be repeated; the hosts are tried in "
    "order until one answers.",
)
@click.option(
    "--settings",
    "path",
    type=_FILE,
    envvar="LABURNUMGATE_SETTINGS",
    help="TOML file with hosts, operator and timeout_ms.",
)
@click.option(
    "--operator",
    default="",
    envvar="LABURNUMGATE_OPERATOR",
    help="Operator name that is recorded with each publication.",
)
@click.version_option(package_name="laburnumgate-cli")
@click.pass_context
@_exit_on_client_error
def main(
    context: click.Context,
    hosts: tuple[str, ...],
    path: pathlib.Path | None,
    operator: str,
) -> None:
    """Client for the entry hosts of a laburnumgate installation.

    Callers use submit, wait, status and cancel. Operators declare templates,
    client accounts and zones in files and use check, plan and apply on them.
    The commands zone and endpoint take zones and endpoints out of service.
    """
    context.obj = _Options(settings.load(path, hosts, operator))


@main.command()
@click.option("--account", required=True, help="Client account.")
@click.option(
    "--id", "request_id", default="", help="Request id. Default: a new UUID."
)
@click.option(
    "--kind", default="", help="Kind of work, matched with never_repeat."
)
@click.option("--parts", type=click.IntRange(min=1), default=1)
@click.option("--accelerators", type=click.IntRange(min=0), default=1)
@click.option("--cpus", type=click.IntRange(min=0), default=1)
@click.option("--memory-mb", type=click.IntRange(min=0), default=1024)
@click.option(
    "--adjacency", type=click.Choice(["rack", "zone"]), default="rack"
)
@click.option("--run-ms", type=click.IntRange(min=1), default=60_000)
@click.option("--non-idempotent", is_flag=True, help="Run at most once.")
@click.option("--checkpointable", is_flag=True)
@click.option("--payload", default="", help="Payload passed to every part.")
@click.option("--wait", "waits", is_flag=True, help="Wait for the outcome.")
@click.option(
    "--wait-ms",
    type=click.IntRange(min=1),
    default=600_000,
    show_default=True,
)
@_json_option
@click.pass_obj
@_exit_on_client_error
def submit(
    options: _Options,
    account: str,
    request_id: str,
    kind: str,
    parts: int,
    accelerators: int,
    cpus: int,
    memory_mb: int,
    adjacency: str,
    run_ms: int,
    non_idempotent: bool,
    checkpointable: bool,
    payload: str,
    waits: bool,
    wait_ms: int,
    as_json: bool,
) -> None:
    """Submit a request. Resource options are per part.

    After an error, it is safe to submit again with the same --id: the
    request still runs once.
    """
    request_id = request_id or uuid.uuid4().hex
    body = {
        "request_id": request_id,
        "account": account,
        "kind": kind,
        "parts": parts,
        "accelerators_per_part": accelerators,
        "cpus_per_part": cpus,
        "memory_mb_per_part": memory_mb,
        "adjacency": adjacency,
        "run_ms": run_ms,
        "idempotent": not non_idempotent,
        "checkpointable": checkpointable,
        "payload": payload,
        "issued_at_ms": time.time_ns() // 1_000_000,
    }

    async def submit_and_wait(client: client_module.Client) -> dict[str, Any]:
        result = await requests.submit(client, body)
        if waits and result["verdict"]["kind"] == "pending":
            return await requests.status(client, account, request_id, wait_ms)
        return result

    try:
        result = options.run(submit_and_wait)
    except errors.ClientError as error:
        raise errors.ClientError(
            f"{error}\nthe request id is {request_id}", error.code
        ) from None
    _print(as_json, result, render.request_status(result))
    sys.exit(int(requests.exit_code(result, pending_ok=not waits)))


@main.command()
@click.argument("account")
@click.argument("request_id")
@_json_option
@click.pass_obj
@_exit_on_client_error
def status(
    options: _Options, account: str, request_id: str, as_json: bool
) -> None:
    """Show the current status of a request."""
    result = options.run(
        lambda client: requests.status(client, account, request_id, 0)
    )
    _print(as_json, result, render.request_status(result))
    sys.exit(int(requests.exit_code(result)))


@main.command()
@click.argument("account")
@click.argument("request_id")
@click.option(
    "--timeout-ms",
    type=click.IntRange(min=1),
    default=600_000,
    show_default=True,
)
@_json_option
@click.pass_obj
@_exit_on_client_error
def wait(
    options: _Options,
    account: str,
    request_id: str,
    timeout_ms: int,
    as_json: bool,
) -> None:
    """Wait for the outcome of a request."""
    result = options.run(
        lambda client: requests.status(client, account, request_id, timeout_ms)
    )
    _print(as_json, result, render.request_status(result))
    sys.exit(int(requests.exit_code(result)))


@main.command()
@click.argument("account")
@click.argument("request_id")
@_json_option
@click.pass_obj
@_exit_on_client_error
def cancel(
    options: _Options, account: str, request_id: str, as_json: bool
) -> None:
    """Cancel a request.

    A waiting request ends as not run; a running one is stopped. The output
    shows the verdict, which is pending until the run has stopped.
    """
    result = options.run(
        lambda client: requests.cancel(client, account, request_id)
    )
    _print(as_json, result, render.request_status(result))
    code = requests.exit_code(result, pending_ok=True)
    # A request that was cancelled before it ran is a success here.
    sys.exit(0 if code is errors.Exit.REFUSED else int(code))


@main.command()
@click.argument("paths", nargs=-1, type=_PATH)
@click.option(
    "--host-settings",
    "settings_paths",
    multiple=True,
    type=_FILE,
    help="Settings file of a host; can be repeated.",
)
@_json_option
@_exit_on_client_error
def check(
    paths: tuple[pathlib.Path, ...],
    settings_paths: tuple[pathlib.Path, ...],
    as_json: bool,
) -> None:
    """Check declaration files and host settings offline.

    The declarations are checked together: every template and zone that an
    account refers to must be declared in PATHS.
    """
    if not paths and not settings_paths:
        raise errors.ClientError(
            "no file to check: name PATHS or --host-settings FILE",
            errors.Exit.USAGE,
        )
    problems = files.check(paths, settings_paths)
    text = "\n".join(problems) if problems else "no problem found"
    _print(as_json, {"problems": problems}, text)
    sys.exit(int(errors.Exit.USAGE if problems else errors.Exit.DONE))


async def _make_plan(
    client: client_module.Client,
    declared: declarations.Declarations,
    prune: bool,
) -> declarations.Plan:
    current = await operations.configuration(client)
    return declarations.compare(
        declared, current.values_by_key, current.offset, prune
    )


_prune_option = click.option(
    "--prune",
    is_flag=True,
    help="Remove templates, accounts and zones that no file declares.",
)


@main.command()
@click.argument("paths", nargs=-1, required=True, type=_PATH)
@_prune_option
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Write the plan to a file for 'apply --plan'.",
)
@_json_option
@click.pass_obj
@_exit_on_client_error
def plan(
    options: _Options,
    paths: tuple[pathlib.Path, ...],
    prune: bool,
    out: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Compare declaration files with the configuration in force."""
    declared = files.read_declarations(paths)
    new_plan = options.run(lambda client: _make_plan(client, declared, prune))
    if out is not None:
        files.write_plan(out, new_plan)
    _print(as_json, dataclasses.asdict(new_plan), render.plan(new_plan))


@main.command()
@click.argument("paths", nargs=-1, type=_PATH)
@_prune_option
@click.option("--plan", "plan_path", type=_FILE, help="Plan file to apply.")
@_progress_timeout
@_json_option
@click.pass_obj
@_exit_on_client_error
def apply(
    options: _Options,
    paths: tuple[pathlib.Path, ...],
    prune: bool,
    plan_path: pathlib.Path | None,
    timeout_ms: int,
    as_json: bool,
) -> None:
    """Publish declarations together and wait until they are in force.

    The changes are published atomically. With --plan, exactly the changes in
    the plan file are published; if another operator has changed one of the
    keys since, nothing is changed and the exit code is 3.
    """
    if bool(paths) == bool(plan_path):
        raise errors.ClientError(
            "name either declaration files or --plan FILE", errors.Exit.USAGE
        )
    operator = options.operator()
    planned_changes = (
        files.read_plan(plan_path) if plan_path is not None else None
    )
    declared = files.read_declarations(paths) if paths else None

    async def publish_changes(
        client: client_module.Client,
    ) -> operations.Progress | None:
        changes = planned_changes
        if declared is not None:
            new_plan = await _make_plan(client, declared, prune)
            if not as_json:
                click.echo(render.plan(new_plan))
            changes = operations.publication_changes(new_plan)
        if not changes:
            return None
        published = await operations.publish(client, changes, operator)
        return await _wait_in_force(
            client, published.offset, timeout_ms, as_json
        )

    _print_final_progress(options.run(publish_changes), as_json)


async def _wait_in_force(
    client: client_module.Client, offset: int, timeout_ms: int, as_json: bool
) -> operations.Progress:
    def report(current: operations.Progress) -> None:
        if not as_json:
            click.echo(render.progress(current))

    return await operations.wait_in_force(client, offset, timeout_ms, report)


def _print_final_progress(
    progress: operations.Progress | None, as_json: bool
) -> None:
    if progress is None:
        _print(as_json, {"changed": False}, "nothing to publish")
        return
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(progress), indent=2))
    if progress.not_reached:
        sys.exit(int(errors.Exit.PENDING))


@main.command()
@_json_option
@click.pass_obj
@_exit_on_client_error
def show(options: _Options, as_json: bool) -> None:
    """Show the configuration and which hosts have it in force."""

    async def fetch(client: client_module.Client):
        current = await operations.configuration(client)
        return current, await operations.progress(client, current.offset)

    current, progress = options.run(fetch)
    value = {
        "configuration": dataclasses.asdict(current),
        "progress": dataclasses.asdict(progress),
    }
    _print(as_json, value, render.configuration(current, progress))


def _set_state(
    options: _Options,
    key: str,
    state: str,
    waits: bool,
    timeout_ms: int,
    as_json: bool,
) -> None:
    operator = options.operator()

    async def publish_state(
        client: client_module.Client,
    ) -> operations.Progress:
        published = await operations.set_state(client, key, state, operator)
        if not waits:
            if not as_json:
                click.echo(render.progress(published))
            return published
        return await _wait_in_force(
            client, published.offset, timeout_ms, as_json
        )

    progress = options.run(publish_state)
    if not waits:
        if as_json:
            click.echo(json.dumps(dataclasses.asdict(progress), indent=2))
        return
    _print_final_progress(progress, as_json)


@main.group()
def zone() -> None:
    """Take an availability zone out of service or return it."""


def _set_zone_state(
    options: _Options,
    name: str,
    out_of_service: bool,
    waits: bool,
    direct: str,
    timeout_ms: int,
    as_json: bool,
) -> None:
    if not direct:
        state = "out" if out_of_service else "in"
        key = f"zone-state/{name}"
        _set_state(options, key, state, waits, timeout_ms, as_json)
        return
    operator = options.operator()
    result = options.run(
        lambda client: operations.stop_zone_directly(
            client, direct.rstrip("/"), name, operator, out_of_service
        )
    )
    starts = "stopped" if out_of_service else "allowed"
    text = f"starts in {name} are {starts}"
    if "summary" in result:
        text += f": {result['summary']}"
    if result.get("not_reached"):
        text += f" ({', '.join(result['not_reached'])})"
    _print(as_json, result, text)
    if result.get("not_reached"):
        sys.exit(int(errors.Exit.PENDING))


def _zone_options(function: Callable) -> Callable:
    decorators = (
        click.argument("name"),
        click.option(
            "--wait", "waits", is_flag=True, help="Wait until in force."
        ),
        click.option(
            "--direct",
            metavar="URL",
            default="",
            help="Send the order to this host of a cut-off zone, "
            "bypassing the log.",
        ),
        _progress_timeout,
        _json_option,
        click.pass_obj,
    )
    for decorator in reversed(decorators):
        function = decorator(function)
    return function


@zone.command("out")
@_zone_options
@_exit_on_client_error
def zone_out(options: _Options, name: str, **flags) -> None:
    """Take a zone out of service, so that no new work starts there."""
    _set_zone_state(options, name, True, **flags)


@zone.command("in")
@_zone_options
@_exit_on_client_error
def zone_in(options: _Options, name: str, **flags) -> None:
    """Return a zone to service."""
    _set_zone_state(options, name, False, **flags)


@main.group()
def endpoint() -> None:
    """Drain or activate an endpoint."""


def _endpoint_options(function: Callable) -> Callable:
    decorators = (
        click.argument("endpoint_id"),
        click.option(
            "--wait", "waits", is_flag=True, help="Wait until in force."
        ),
        _progress_timeout,
        _json_option,
        click.pass_obj,
    )
    for decorator in reversed(decorators):
        function = decorator(function)
    return function


@endpoint.command()
@_endpoint_options
@_exit_on_client_error
def drain(options: _Options, endpoint_id: str, **flags) -> None:
    """Stop giving new work to an endpoint."""
    _set_state(options, f"endpoint-state/{endpoint_id}", "draining", **flags)


@endpoint.command()
@_endpoint_options
@_exit_on_client_error
def activate(options: _Options, endpoint_id: str, **flags) -> None:
    """Give new work to a drained endpoint again."""
    _set_state(options, f"endpoint-state/{endpoint_id}", "active", **flags)


@main.command()
@_json_option
@click.pass_obj
@_exit_on_client_error
def state(options: _Options, as_json: bool) -> None:
    """Show the state of every host given by --host or in the settings."""
    dumps = options.run(operations.states)
    _print(as_json, dumps, render.states(dumps))
    if all("error" in dump for dump in dumps.values()):
        sys.exit(int(errors.Exit.UNREACHABLE))


@main.command()
@click.argument("job_id", metavar="ID")
@click.argument("logs", nargs=-1, type=click.File("r"))
@_json_option
def explain(job_id: str, logs: tuple, as_json: bool) -> None:
    """Show a job's history from the LOGS of all hosts or standard input."""
    log_lines = (line for log in logs or (sys.stdin,) for line in log)
    history = explain_module.tell(job_id, log_lines)
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(history)))
    for line in () if as_json else history.lines:
        details = " ".join(f"{k}={v}" for k, v in line.details.items())
        click.echo(f"{line.time} {line.host}: {line.text} {details}")
    if not history.lines:
        click.echo(f"no log line mentions job {job_id}", err=True)
        sys.exit(errors.Exit.FAILED)


@main.command()
@click.option(
    "--json", "as_json", is_flag=True, help="Print JSON: {metrics: TEXT}."
)
@click.pass_obj
@_exit_on_client_error
def metrics(options: _Options, as_json: bool) -> None:
    """Show one host's metrics in the Prometheus text format."""
    text = options.run(operations.metrics)
    _print(as_json, {"metrics": text}, text)


if __name__ == "__main__":
    main()
