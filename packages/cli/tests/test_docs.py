"""Guards the pages that tell people what to do."""

import pathlib
import re

from laburnumgate_cli import command
from laburnumgate_core import declarations
import pytest

ROOT = pathlib.Path(__file__).parents[3]
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
OPERATORS = ROOT / "docs/operators"
ZONE = """
[zone.calama-b]
region = "norte-grande"
racks = [{ name = "r1", endpoints = 8, accelerators_per_endpoint = 8 }]
"""


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_files(page):
    """Guards against links to pages that were moved."""
    for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
        assert (page.parent / link).exists(), link


def test_the_examples_of_declarations_are_valid():
    """Guards against examples that a host refuses."""
    texts = {"zone": ZONE}
    for name in ("publish-a-template.md", "onboard-an-account.md"):
        page = (OPERATORS / name).read_text()
        (block,) = re.findall(r"```toml\n(.*?)```", page, re.DOTALL)
        texts[name] = block
    found = declarations.parse(texts)
    assert len(found.declared_by_key) == 3
    assert declarations.check(found) == ()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_commands_in_pages_exist(page):
    """Guards against pages that name commands that were renamed."""
    pattern = r"^ {4,}laburnumgate ((?:--\w+(?: (?!--)\S+)? )*)([a-z]+)"
    for _, name in re.findall(pattern, page.read_text(), re.MULTILINE):
        assert name in command.main.commands, name


def test_the_target_size_is_that_of_the_design():
    """Guards against two different targets."""
    design = (ROOT / "docs/design.md").read_text()
    start = design.index("11,000 workers")
    target = design[start : design.index("### Bounds")].strip()
    assert target in (ROOT / "DEVELOPERS.md").read_text()
