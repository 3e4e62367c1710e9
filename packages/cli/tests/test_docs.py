"""Checks links, examples and commands in the documentation."""

import pathlib
import re

from laburnumgate_cli import command
from laburnumgate_core import declarations
import pytest

ROOT = pathlib.Path(__file__).parents[3]
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
OPERATOR_DOCS = ROOT / "docs/operators"
ZONE = """
[zone.calama-b]
region = "norte-grande"
racks = [{ name = "r1", endpoints = 8, accelerators_per_endpoint = 8 }]
"""


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_point_to_existing_files(page):
    """Guards against broken links to pages that were moved."""
    for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
        assert (page.parent / link).exists(), link


def test_declaration_examples_are_valid():
    """Guards against examples in the pages that a host would refuse."""
    texts = {"zone": ZONE}
    for name in ("publish-a-template.md", "onboard-an-account.md"):
        page = (OPERATOR_DOCS / name).read_text()
        (block,) = re.findall(r"```toml\n(.*?)```", page, re.DOTALL)
        texts[name] = block
    parsed = declarations.parse(texts)
    assert len(parsed.declared_by_key) == 3
    assert declarations.check(parsed) == ()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_commands_in_pages_exist(page):
    """Guards against pages that use removed or renamed commands."""
    pattern = r"^ {4,}laburnumgate ((?:--\w+(?: (?!--)\S+)? )*)([a-z]+)"
    for _, name in re.findall(pattern, page.read_text(), re.MULTILINE):
        assert name in command.main.commands, name


def test_target_size_matches_the_design_page():
    """Guards against target sizes that differ between two pages."""
    design = (ROOT / "docs/design.md").read_text()
    start = design.index("11,000 workers")
    target = design[start : design.index("### Bounds")].strip()
    assert target in (ROOT / "DEVELOPERS.md").read_text()
