"""Tests the demo's check of verdicts against task starts."""

import json

from laburnumgate_standins import audit
from laburnumgate_standins import layout
from laburnumgate_standins import traffic
import pytest

LAYOUT = layout.TESTIGO_ANDINO
RUN = traffic.Intent.RUN
RAN = {"kind": "ran", "answer": [json.dumps({"echo": "mine"})]}
FOREIGN = {"kind": "ran", "answer": [json.dumps({"echo": "other"})]}
NOT_RUN = {"kind": "not_run", "reason": "cancelled"}
UNDECIDED = {"kind": "may_have_run", "reason": "lost"}
ENDPOINT = "calama-b-r1-1"


def audit_call(
    verdict,
    runs: int,
    idempotent=True,
    intent=RUN,
    later="",
    killed=False,
    continued=(),
) -> list[str]:
    """Audits a call with one part that was started in `runs` runs.

    The runs in `continued` resumed from a checkpoint.
    """
    body = {
        "request_id": "r",
        "account": "geo-norte",
        "kind": "review",
        "parts": 1,
        "idempotent": idempotent,
        "payload": json.dumps({"echo": "mine"}),
    }
    call = traffic.Call(
        traffic.PlannedRequest(body, intent, 0.0), "", verdict=verdict
    )
    started = {run: {0: ENDPOINT} for run in range(1, runs + 1)}
    tasks = frozenset(f"geo-norte/r/{run}/0" for run in continued)
    history = audit.History({"geo-norte/r": started}, {}, tasks)
    rechecked_kinds = {"geo-norte/r": later or call.kind}
    return audit.faults([call], history, LAYOUT, rechecked_kinds, killed)


@pytest.mark.parametrize(
    ("case", "text"),
    [
        ({"verdict": RAN, "runs": 2, "idempotent": False}, "started 2 times"),
        ({"verdict": RAN, "runs": 0}, "no run started every part"),
        ({"verdict": FOREIGN, "runs": 1}, "answer of another request"),
        (
            {"verdict": NOT_RUN, "runs": 1, "intent": traffic.Intent.CANCEL},
            "reported as not run",
        ),
        ({"verdict": NOT_RUN, "runs": 0}, "refused"),
        ({"verdict": UNDECIDED, "runs": 1, "idempotent": False}, "may_have"),
        ({"verdict": UNDECIDED, "runs": 1, "killed": True}, "may_have_run"),
        ({"verdict": None, "runs": 0}, "no answer"),
        ({"verdict": RAN, "runs": 1, "later": "not_run"}, "by another host"),
        (
            {
                "verdict": RAN,
                "runs": 1,
                "intent": traffic.Intent.IMPOSSIBLE,
            },
            "no endpoint has enough accelerators",
        ),
    ],
)
def test_a_fault_is_found(case, text):
    """Guards against an audit that misses faults, so the demo passes."""
    (fault,) = audit_call(**case)
    assert text in fault


def test_truthful_outcomes_are_no_faults():
    """Guards against a demo that fails on allowed outcomes."""
    cancel = traffic.Intent.CANCEL
    assert audit_call(RAN, 2) == []
    assert audit_call(NOT_RUN, 0, intent=cancel) == []
    assert audit_call(UNDECIDED, 1, intent=cancel) == []
    assert audit_call(UNDECIDED, 1, idempotent=False, killed=True) == []


def test_a_run_that_goes_on_from_a_checkpoint_repeats_nothing():
    """Guards against counting a resumed run as a second execution.

    A job that must not repeat is checkpointed and moved when its zone is taken
    out of service. The audit reported its second run as a repetition.
    """
    assert audit_call(RAN, 2, idempotent=False, continued=[2]) == []
    (fault,) = audit_call(RAN, 3, idempotent=False, continued=[2])
    assert "started 2 times" in fault


def test_the_same_seed_gives_the_same_requests():
    """Guards against a demo that cannot be reproduced from its seed."""
    first = traffic.generate_requests(LAYOUT, 7, 30)
    assert first == traffic.generate_requests(LAYOUT, 7, 30)
    assert first != traffic.generate_requests(LAYOUT, 8, 30)
    assert {request.intent for request in first} == set(traffic.Intent)
    assert any(traffic.at_most_once(request, LAYOUT) for request in first)
