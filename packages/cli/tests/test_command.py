"""Tests of the requests, output and exit codes of the command."""

import json

from laburnumgate_cli import errors
from laburnumgate_core import records
import pytest

# Nothing listens on the discard port of the loopback address.
UNREACHABLE_URL = "http://127.0.0.1:9"
ZONE = '[zone.calama-b]\nregion = "norte-grande"\nracks = []\n'


def test_unreachable_host_is_skipped_with_the_same_request_id(run, host):
    """Guards against a second request id when the first host is down."""
    result = run(
        "submit",
        "--account",
        "a",
        "--id",
        "r1",
        hosts=(UNREACHABLE_URL, host.url),
    )
    assert result.exit_code == errors.Exit.DONE
    assert [body["request_id"] for body in host.submitted_bodies] == ["r1"]


def test_host_that_accepts_no_requests_is_skipped(run, host, other_host):
    """Guards against an error while another host accepts requests."""
    host.submit_status = 503
    host.verdict = {"kind": "may_have_run", "reason": "leaving"}
    hosts = (host.url, other_host.url)
    result = run("submit", "--account", "a", "--id", "r1", hosts=hosts)
    assert result.exit_code == errors.Exit.DONE
    assert host.submitted_bodies == other_host.submitted_bodies


def test_unreachable_hosts_give_a_message_and_an_exit_code(run):
    """Guards against a traceback in place of an error message."""
    result = run(
        "submit", "--account", "a", "--id", "r1", hosts=(UNREACHABLE_URL,)
    )
    assert result.exit_code == errors.Exit.UNREACHABLE
    assert "no host answered" in result.output
    assert "the request id is r1" in result.output


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        ("ran", errors.Exit.DONE),
        ("ran_failed", errors.Exit.FAILED),
        ("not_run", errors.Exit.REFUSED),
        ("may_have_run", errors.Exit.UNDECIDED),
        ("pending", errors.Exit.PENDING),
    ],
)
def test_status_exit_code_follows_the_verdict(run, host, kind, code):
    """Guards against scripts that treat a refused request as a success."""
    host.verdict = {"kind": kind, "reason": "why", "state": "running"}
    result = run("status", "a", "r1", "--json")
    assert result.exit_code == code
    assert json.loads(result.output)["verdict"]["kind"] == kind


def test_cancelling_before_the_run_succeeds(run, host):
    """Guards against an error exit code for a successful cancellation."""
    host.verdict = {"kind": "not_run", "reason": "cancelled"}
    result = run("cancel", "a", "r1")
    assert result.exit_code == errors.Exit.DONE
    assert "a/r1: not run - cancelled" in result.output


def test_lost_response_to_a_publication_is_not_a_conflict(
    run, host, other_host, tmp_path
):
    """Guards against reporting a conflict with the same publication.

    The first host applies it and closes the connection; the retry on the
    second host then finds it already in force.
    """
    other_host.table = host.table
    host.close_after_publication = True
    path = tmp_path / "zones.toml"
    path.write_text(ZONE)
    result = run("apply", str(path), hosts=(host.url, other_host.url))
    assert result.exit_code == errors.Exit.DONE, result.output
    assert host.table.revision("zone/calama-b") == 1


def test_lost_response_without_another_host_is_undecided(run, host, tmp_path):
    """Guards against reporting a publication that took effect as failed."""
    host.close_after_publication = True
    path = tmp_path / "zones.toml"
    path.write_text(ZONE)
    assert run("apply", str(path)).exit_code == errors.Exit.UNDECIDED


def test_an_invalid_publication_is_refused_not_a_conflict(run, host):
    """Guards against advising a retry of a publication that is never valid."""
    result = run("zone", "out", "x/y")
    assert result.exit_code == errors.Exit.DONE
    host.apply_publication("rival", records.Change("zone/z", {}, 0))
    result = run("endpoint", "drain", "")
    assert result.exit_code == errors.Exit.REFUSED


def test_a_direct_stop_bypasses_the_configuration(run, host):
    """Guards against a stop of a cut-off zone that depends on the log."""
    result = run("zone", "out", "z", "--direct", host.url)
    assert result.exit_code == errors.Exit.DONE
    assert host.stop_orders == [{"operator": "ana", "stopped": True}]
    assert host.table.offset == 0


def test_check_names_every_file_and_field(run, tmp_path):
    """Guards against a check that stops at the first problem."""
    declarations = tmp_path / "a.toml"
    declarations.write_text("[zone.a]\nregion = 1\nracks = []\n")
    host_settings = tmp_path / "host.toml"
    host_settings.write_text('[host]\nzone = "a"\nhttp_prt = 1\n')
    result = run(
        "check", str(declarations), "--host-settings", str(host_settings)
    )
    assert result.exit_code == errors.Exit.USAGE
    for text in ("a.toml: zone.a: region", "host.http_prt", "host.http_port"):
        assert text in result.output


@pytest.mark.parametrize("command", ["show", "state", "metrics"])
def test_read_commands_print_json(run, command):
    """Guards against --json output that is not valid JSON."""
    result = run(command, "--json")
    assert result.exit_code == errors.Exit.DONE
    json.loads(result.output)
