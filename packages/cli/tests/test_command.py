"""Guards what the command sends, prints and returns."""

import json

from laburnumgate_cli import errors
from laburnumgate_core import records
import pytest

# Nothing listens on the discard port of a loopback address.
DEAD = "http://127.0.0.1:9"
ZONE = '[zone.calama-b]\nregion = "norte-grande"\nracks = []\n'


def test_a_dead_host_is_passed_over_with_the_same_request_id(run, host):
    """Guards against a second request when the first host is down."""
    answer = run(
        "submit", "--account", "a", "--id", "r1", hosts=(DEAD, host.url)
    )
    assert answer.exit_code == errors.Exit.DONE
    assert [body["request_id"] for body in host.bodies] == ["r1"]


def test_a_host_that_takes_no_requests_is_passed_over(run, host, other_host):
    """Guards against giving up while another host would accept."""
    host.submit_status = 503
    host.verdict = {"kind": "may_have_run", "reason": "leaving"}
    hosts = (host.url, other_host.url)
    answer = run("submit", "--account", "a", "--id", "r1", hosts=hosts)
    assert answer.exit_code == errors.Exit.DONE
    assert host.bodies == other_host.bodies


def test_no_host_at_all_is_a_sentence_and_a_code(run):
    """Guards against a traceback in place of a sentence."""
    answer = run("submit", "--account", "a", "--id", "r1", hosts=(DEAD,))
    assert answer.exit_code == errors.Exit.UNREACHABLE
    assert "no host answered" in answer.output
    assert "the request id is r1" in answer.output


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
def test_status_tells_the_verdict_by_exit_code(run, host, kind, code):
    """Guards against scripts that take a refusal for success."""
    host.verdict = {"kind": kind, "reason": "why", "state": "running"}
    answer = run("status", "a", "r1", "--json")
    assert answer.exit_code == code
    assert json.loads(answer.output)["verdict"]["kind"] == kind


def test_cancelled_before_it_ran_is_success(run, host):
    """Guards against an error code for what the caller asked for."""
    host.verdict = {"kind": "not_run", "reason": "cancelled"}
    answer = run("cancel", "a", "r1")
    assert answer.exit_code == errors.Exit.DONE
    assert "a/r1: not run - cancelled" in answer.output


def test_a_lost_answer_to_a_publication_is_no_conflict(
    run, host, other_host, tmp_path
):
    """Guards against a conflict with our own publication after a retry."""
    other_host.table = host.table
    host.drop_after_publication = True
    path = tmp_path / "zones.toml"
    path.write_text(ZONE)
    answer = run("apply", str(path), hosts=(host.url, other_host.url))
    assert answer.exit_code == errors.Exit.DONE, answer.output
    assert host.table.revision("zone/calama-b") == 1


def test_a_lost_answer_without_another_host_is_undecided(run, host, tmp_path):
    """Guards against calling a publication that took effect a failure."""
    host.drop_after_publication = True
    path = tmp_path / "zones.toml"
    path.write_text(ZONE)
    assert run("apply", str(path)).exit_code == errors.Exit.UNDECIDED


def test_an_invalid_publication_is_refused_not_a_conflict(run, host):
    """Guards against telling an operator to retry what can never work."""
    answer = run("zone", "out", "x/y")
    assert answer.exit_code == errors.Exit.DONE
    host.take("rival", records.Change("zone/z", {}, 0))
    answer = run("endpoint", "drain", "")
    assert answer.exit_code == errors.Exit.REFUSED


def test_a_direct_stop_bypasses_the_configuration(run, host):
    """Guards against a cut-off zone that waits for the log."""
    answer = run("zone", "out", "z", "--direct", host.url)
    assert answer.exit_code == errors.Exit.DONE
    assert host.stops == [{"operator": "ana", "stopped": True}]
    assert host.table.offset == 0


def test_check_names_every_file_and_field(run, tmp_path):
    """Guards against a check that stops at the first problem."""
    declared = tmp_path / "a.toml"
    declared.write_text("[zone.a]\nregion = 1\nracks = []\n")
    own = tmp_path / "host.toml"
    own.write_text('[host]\nzone = "a"\nhttp_prt = 1\n')
    answer = run("check", str(declared), "--host-settings", str(own))
    assert answer.exit_code == errors.Exit.USAGE
    for text in ("a.toml: zone.a: region", "host.http_prt", "host.http_port"):
        assert text in answer.output


@pytest.mark.parametrize("command", ["show", "state", "metrics"])
def test_operators_reads_print_json(run, command):
    """Guards against output that programs cannot read."""
    answer = run(command, "--json")
    assert answer.exit_code == errors.Exit.DONE
    json.loads(answer.output)
