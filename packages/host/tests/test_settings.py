"""Tests of a host's settings file and its documentation page."""

import pathlib

from laburnumgate_host import reference
from laburnumgate_host import settings
import pytest

OWN = """
[host]
host_id = "h1"
zone = "calama-b"
region = "norte-grande"
ip = "127.0.2.1"
http_port = 8080
rpc_port = 8081
[platform]
log_url = "http://127.0.0.1:9000"
live_list_url = "http://127.0.0.1:9001"
"""
PAGE = pathlib.Path(__file__).parents[3] / "docs/operators/settings.md"


def errors_of(text: str) -> list[str]:
    with pytest.raises(settings.SettingsError) as caught:
        settings.load(text)
    return str(caught.value).splitlines()


def test_the_smallest_file_is_enough():
    """All other settings must have valid defaults."""
    assert settings.load(OWN).timing.tick_ms > 0


def test_every_error_is_reported_at_once_with_its_full_name():
    """Users should not have to fix a file one error at a time."""
    text = OWN.replace('"127.0.2.1"', '"calama"').replace("8080", "80800")
    text = text.replace("rpc_port", "rcp_port") + "[timing]\ntick_ms = 0\n"
    names = {line.split(":")[0] for line in errors_of(text)}
    assert names == {
        "host.ip",
        "host.http_port",
        "host.rpc_port",
        "host.rcp_port",
        "timing.tick_ms",
    }


def test_an_unknown_setting_is_refused():
    """A misspelled setting must not be ignored silently."""
    (line,) = errors_of(OWN + "[limits]\nopen_pols = 3\n")
    assert line == "limits.open_pols: no such setting"


def test_a_file_that_is_not_toml_names_the_line():
    """The error must locate the syntax error in a long file."""
    (line,) = errors_of("[host]\nzone = calama\n")
    assert "line 2" in line


def test_settings_that_contradict_each_other_are_refused():
    """A host cannot listen twice on the same port."""
    (line,) = errors_of(OWN.replace("8081", "8080"))
    assert line.startswith("host: ")
    assert "must differ" in line


def test_the_page_shows_the_settings_of_the_model():
    """The page must match the model, and every setting has a description."""
    assert PAGE.read_text() == reference.fill_tables(PAGE.read_text())
    for item in settings.describe():
        assert item.meaning, f"{item.name} has no description"
