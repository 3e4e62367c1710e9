"""Tests of the policy file."""

from laburnumgate_placer import policy
import pytest


def _write(tmp_path, text):
    path = tmp_path / "policy.toml"
    path.write_text(text)
    return path


def test_settings_that_are_left_out_keep_their_defaults(tmp_path):
    """Guards against a short file that switches on other parts."""
    path = _write(tmp_path, "urgent_headroom = true\n")
    assert policy.load(path) == policy.Policy(urgent_headroom=True)


@pytest.mark.parametrize(
    "text",
    ["urgent_headrom = true", "urgent_headroom = 1", "urgent_headroom ="],
)
def test_an_invalid_policy_file_is_refused(tmp_path, text):
    """Guards against a typing error that leaves a part switched off."""
    with pytest.raises(policy.PolicyError, match="policy.toml"):
        policy.load(_write(tmp_path, text))


def test_a_missing_policy_file_is_refused(tmp_path):
    """Guards against a wrong path that silently means the defaults."""
    with pytest.raises(policy.PolicyError, match="cannot read"):
        policy.load(tmp_path / "policy.toml")
