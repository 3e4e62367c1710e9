"""Tests of the settings file that the platform writes."""

import pytest
import settings

_SETTINGS = """
node_name = "edge-1"
ip = "10.1.0.19"
zone = "a"
port_range = [7000, 7015]
[listen_addrs]
front = "10.1.0.19:8521"
ready_addr = "10.1.0.19:8523"
[platform]
address = "10.200.1.7:8524"
"""


@pytest.mark.parametrize(
    ("line", "size"), [("", 262_144), ("max_record_bytes = 65536", 65_536)]
)
def test_the_size_of_a_record_is_that_of_the_platform(tmp_path, line, size):
    """Guards against jobs that a log with smaller records refuses."""
    path = tmp_path / "node.toml"
    path.write_text(_SETTINGS + line)
    assert settings.load(path).bounds.max_record_bytes == size


def test_callers_are_limited_by_the_machine(tmp_path):
    """Guards against callers that exceed the memory or the descriptors."""
    path = tmp_path / "node.toml"
    path.write_text(_SETTINGS + "[limits]\nmemory_mb = 160\nmax_fds = 3075\n")
    limits = settings.load(path).connections
    assert limits.process_bytes == 160 << 20
    assert limits.connections < 3_075 - 200
    path.write_text(_SETTINGS)
    assert settings.load(path).connections.process_bytes == 256 << 20


@pytest.mark.parametrize(("memory_mb", "jobs_mb"), [(160, 53), (690, 85)])
def test_jobs_are_limited_by_the_machine(tmp_path, memory_mb, jobs_mb):
    """Guards against accepted jobs that exceed the memory.

    What a large machine accepts is held by small ones of the same site, too.
    """
    path = tmp_path / "node.toml"
    path.write_text(f"{_SETTINGS}[limits]\nmemory_mb = {memory_mb}\n")
    assert settings.load(path).bounds.max_jobs_bytes >> 20 == jobs_mb
