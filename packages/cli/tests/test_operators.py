"""Steps of the scenarios in operators.feature."""

from laburnumgate_core import records
import pytest_bdd
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

pytest_bdd.scenarios("operators.feature")


@given(
    parsers.parse('a declaration of zone "{name}" in region "{region}"'),
    target_fixture="declared",
)
def declared(tmp_path, name, region):
    path = tmp_path / "zones.toml"
    path.write_text(f'[zone.{name}]\nregion = "{region}"\nracks = []\n')
    return path


@given(parsers.parse("{count:d} hosts that apply changes late"))
def lagging_hosts(host, count):
    host.lagging_hosts = count


@given("a reviewed plan", target_fixture="plan")
def reviewed_plan(run, declared, tmp_path):
    path = tmp_path / "plan.json"
    assert run("plan", str(declared), "--out", str(path)).exit_code == 0
    return path


@given(parsers.parse('another operator publishes zone "{name}" first'))
def competing_publication(host, name):
    value = {"region": "sur", "racks": []}
    host.competing_change = records.Change(f"zone/{name}", value, 0)


@when("the operator applies the declarations", target_fixture="result")
def apply(run, declared):
    return run("apply", str(declared))


@when("the operator applies the plan", target_fixture="result")
def apply_plan(run, plan):
    return run("apply", "--plan", str(plan))


@when(
    parsers.parse('the operator takes zone "{name}" out and waits'),
    target_fixture="result",
)
def zone_out(run, name):
    return run("zone", "out", name, "--wait")


@when(
    parsers.parse('the operator takes zone "{name}" out and waits 1 ms'),
    target_fixture="result",
)
def zone_out_briefly(run, name):
    return run("zone", "out", name, "--wait", "--timeout-ms", "1")


@then(parsers.parse('the output contains "{text}"'))
def output_contains(result, text):
    assert text.replace('\\"', '"') in result.output


@then(parsers.parse('the output ends with "{text}"'))
def output_ends_with(result, text):
    assert result.output.rstrip().endswith(text)


@then(parsers.parse('zone "{name}" is still in region "{region}"'))
def zone_is_still_in_region(host, name, region):
    value = host.table.values_by_key[f"zone/{name}"].value
    assert value["region"] == region


@then(parsers.parse("the exit code is {code:d}"))
def exit_code(result, code):
    assert result.exit_code == code
