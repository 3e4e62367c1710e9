"""Fixtures for the tests of the command."""

import importlib.util
import pathlib

from click import testing
from laburnumgate_cli import command
import pytest


def _load(name: str):
    path = pathlib.Path(__file__).with_name(f"{name}.py")
    spec = importlib.util.spec_from_file_location(name, path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


fakehost = _load("fakehost")


@pytest.fixture
def host():
    fake = fakehost.FakeHost()
    yield fake
    fake.close()


@pytest.fixture
def other_host():
    fake = fakehost.FakeHost()
    yield fake
    fake.close()


@pytest.fixture
def run(host):
    """Invokes the command on the fake host, with `ana` as the operator."""

    def invoke(*arguments: str, hosts: tuple[str, ...] = ()):
        options = []
        for url in hosts or (host.url,):
            options += ["--host", url]
        options += ["--operator", "ana"]
        runner = testing.CliRunner()
        return runner.invoke(command.main, [*options, *arguments])

    return invoke
