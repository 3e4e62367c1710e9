"""Tests the benchmark of methods to catch up."""

from laburnumgate_bench import catchup


def test_replay_and_snapshot_give_the_same_configuration(monkeypatch):
    """Costs must not be reported for a method that loses values.

    Both methods raise if the resulting configuration differs.
    """
    monkeypatch.setattr(catchup, "ACCOUNTS", 2)
    monkeypatch.setattr(catchup, "ENDPOINTS_PER_ZONE", 16)
    history = catchup.ChangeHistory(changes=300, keys=20, seed=1)
    assert catchup.replay(history).transfer_bytes > 0
    assert (
        catchup.load_snapshot(history, with_outcomes=False).transfer_bytes > 0
    )
