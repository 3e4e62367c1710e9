"""Predefined layouts: zones, racks, hosts and client accounts."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account and the template parameters of its promise."""

    name: str
    urgency: str
    quota: int
    parts: int
    accelerators: int
    gangs: int
    never_repeat: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Layout:
    """Description of an installation with one rack of endpoints per zone."""

    name: str
    region: str
    zones: tuple[str, ...]
    hosts_by_zone: dict[str, int]
    endpoints_per_rack: int
    accelerators: int
    cpus: int
    memory_mb: int
    slots: int
    connections: int
    speed_by_zone: dict[str, float]
    accounts: tuple[Account, ...]


TESTIGO_ANDINO = Layout(
    name="testigo-andino",
    region="norte-grande",
    zones=("antofagasta-a", "calama-b", "copiapo-c"),
    hosts_by_zone={"antofagasta-a": 3, "calama-b": 3, "copiapo-c": 2},
    endpoints_per_rack=8,
    accelerators=8,
    cpus=32,
    memory_mb=64 * 1024,
    slots=8,
    connections=64,
    speed_by_zone={"antofagasta-a": 1.0, "calama-b": 0.7, "copiapo-c": 1.3},
    accounts=(
        Account("mina-alta", "urgent", 96, 2, 8, 1, ("tray-entry",)),
        Account("mina-baja", "normal", 128, 4, 8, 1, ("tray-entry",)),
        Account("geo-norte", "normal", 64, 1, 8, 1, ()),
        Account("ensayes", "batch", 192, 1, 4, 1, ()),
    ),
)

HAI_PHONG = Layout(
    name="hai-phong",
    region="hai-phong",
    zones=("hp-dinhvu", "hp-lechan", "hp-kienan"),
    hosts_by_zone={"hp-dinhvu": 3, "hp-lechan": 3, "hp-kienan": 2},
    endpoints_per_rack=8,
    accelerators=8,
    cpus=64,
    memory_mb=128 * 1024,
    slots=8,
    connections=64,
    speed_by_zone={"hp-dinhvu": 1.0, "hp-lechan": 1.0, "hp-kienan": 0.6},
    accounts=(
        Account("surveyors", "urgent", 64, 1, 4, 2, ()),
        Account("estimators", "urgent", 64, 1, 2, 2, ("steel-order",)),
        Account("models", "batch", 192, 8, 8, 1, ()),
        Account("port-cranes", "normal", 96, 2, 8, 1, ("steel-order",)),
    ),
)

BY_NAME = {layout.name: layout for layout in (TESTIGO_ANDINO, HAI_PHONG)}

_TEMPLATE = {
    "description": "gangs of one shape, owed at any time",
    "parameters": {
        "urgency": {
            "type": "string",
            "choices": ["urgent", "normal", "batch"],
        },
        "quota": {"type": "integer", "minimum": 0},
        "parts": {"type": "integer", "minimum": 1, "maximum": 512},
        "accelerators": {"type": "integer", "minimum": 1, "maximum": 8},
        "gangs": {"type": "integer", "minimum": 1, "default": 1},
        "never_repeat": {"type": "list", "default": []},
    },
    "promise": {
        "urgency": "${urgency}",
        "quota_accelerators": "${quota}",
        "never_repeat": "${never_repeat}",
        "shapes": [
            {
                "parts": "${parts}",
                "accelerators_per_part": "${accelerators}",
                "adjacency": "rack",
                "count": "${gangs}",
            }
        ],
    },
}


def declarations(layout: Layout) -> dict[str, dict]:
    """Returns the configuration values of a layout by key."""
    values: dict[str, dict] = {"template/gang": _TEMPLATE}
    for zone in layout.zones:
        rack = {
            "name": f"{zone}-r1",
            "endpoints": layout.endpoints_per_rack,
            "accelerators_per_endpoint": layout.accelerators,
        }
        values[f"zone/{zone}"] = {"region": layout.region, "racks": [rack]}
    for account in layout.accounts:
        values[f"account/{account.name}"] = {
            "template": "gang",
            "parameters": {
                "urgency": account.urgency,
                "quota": account.quota,
                "parts": account.parts,
                "accelerators": account.accelerators,
                "gangs": account.gangs,
                "never_repeat": list(account.never_repeat),
            },
        }
    return values
