"""Checks that docs/openapi.json matches the routes and models."""

import json
import pathlib
import re

from laburnumgate_host import callers
from laburnumgate_host import openapi
from laburnumgate_host import operators
import sanic

PAGE = pathlib.Path(__file__).parents[3] / "docs/openapi.json"


def routes() -> set[tuple[str, str]]:
    """Returns the method and path of each route of the daemon."""
    app = sanic.Sanic("routes", configure_logging=False)
    # Registering routes does not access the host.
    callers.add_routes(app, None)
    operators.add_routes(app, None)
    found = set()
    for route in app.router.routes:
        path = re.sub(r"<(\w+)(:\w+)?>", r"{\1}", f"/{route.path}")
        found |= {(method.lower(), path) for method in route.methods}
    return found


def test_the_document_describes_every_route_and_no_other():
    """The document must describe exactly the daemon's routes."""
    described = {
        (method, path)
        for path, operations in openapi.build()["paths"].items()
        for method in operations
    }
    assert described == routes()


def test_the_file_is_the_document_built_from_the_models():
    """The file must be regenerated when the models change.

    `python -m laburnumgate_host.openapi docs/openapi.json` writes it.
    """
    assert json.loads(PAGE.read_text()) == openapi.build()


def test_every_reference_is_defined():
    """Tools cannot resolve a reference to an undefined schema."""
    text = json.dumps(openapi.build())
    used = set(re.findall(r"#/components/schemas/(\w+)", text))
    assert used <= openapi.build()["components"]["schemas"].keys()
