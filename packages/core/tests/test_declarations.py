"""Tests parsing and comparison of declaration files."""

from laburnumgate_core import config
from laburnumgate_core import declarations

ZONE = """
[zone.calama-b]
region = "norte-grande"
[[zone.calama-b.racks]]
name = "r1"
endpoints = 2
accelerators_per_endpoint = 8
"""
TEMPLATE = """
[template.gang.promise]
quota_accelerators = 16
[[template.gang.promise.shapes]]
parts = 2
accelerators_per_part = 8
"""
ACCOUNT = '[account.mina-alta]\ntemplate = "gang"\n'


def parse(*texts: str) -> declarations.Declarations:
    return declarations.parse({f"f{n}": text for n, text in enumerate(texts)})


def test_every_problem_is_reported_at_once():
    """All problems in all files are reported in one pass."""
    found = parse(
        "[zone.a]\nregion = 1\n",
        "not toml",
        "[zones.b]\n",
        "[account.c]\ntemplate = 'x'\nquota = 3\n",
    )
    texts = [str(problem) for problem in found.problems]
    assert any(text.startswith("f1: not TOML") for text in texts)
    assert any("line 1" in text for text in texts)
    assert any(text.startswith("f0: zone.a: region") for text in texts)
    assert any(text.startswith("f2: zones: unknown") for text in texts)
    assert any(text.startswith("f3: account.c: quota") for text in texts)


def test_a_key_declared_twice_names_both_files():
    """A file must not silently override another one's declaration."""
    (problem,) = parse(ZONE, ZONE).problems
    assert str(problem) == "f1: zone/calama-b: is declared in f0 as well"


def test_guarantees_that_cannot_be_met_are_found_offline():
    """The offline check must not accept what a host would reject."""
    assert declarations.check(parse(ZONE, TEMPLATE, ACCOUNT)) == ()
    second = ACCOUNT.replace("mina-alta", "mina-baja")
    (problem,) = declarations.check(parse(ZONE, TEMPLATE, ACCOUNT, second))
    assert "cannot be met" in problem.text


def test_a_plan_names_fields_and_the_revision_it_replaces():
    """A plan must not overwrite a value that it was not compared with."""
    declared = parse(ZONE)
    old = dict(declared.declared_by_key["zone/calama-b"].value, region="sur")
    in_force = {
        "zone/calama-b": config.Versioned(7, old),
        "zone/copiapo-c": config.Versioned(3, old),
        "zone-state/copiapo-c": config.Versioned(9, {"state": "out"}),
    }
    plan = declarations.compare(declared, in_force, 9)
    (change,) = plan.changes
    assert (change.action, change.replaces) == ("change", 7)
    field = declarations.FieldChange("region", "sur", "norte-grande")
    assert change.fields == (field,)
    assert plan.undeclared == ("zone/copiapo-c",)
    pruned = declarations.compare(declared, in_force, 9, prune=True)
    assert pruned.changes[1].action == "remove"
    assert len(pruned.changes) == 2
    moved = {"zone/calama-b": config.Versioned(8, old)}
    assert declarations.conflicting_keys(plan.changes, moved) == {
        "zone/calama-b": 8
    }
