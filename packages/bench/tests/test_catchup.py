"""Guards the comparison of ways to catch up."""

from laburnumgate_bench import catchup


def test_both_ways_lead_to_the_same_configuration(monkeypatch):
    """Guards against figures of a way that loses values."""
    monkeypatch.setattr(catchup, "ACCOUNTS", 2)
    monkeypatch.setattr(catchup, "ENDPOINTS_PER_ZONE", 16)
    history = catchup.ChangeHistory(changes=300, keys=20, seed=1)
    assert catchup.replay(history).transfer_bytes > 0
    assert (
        catchup.load_snapshot(history, with_outcomes=False).transfer_bytes > 0
    )
