"""Command line of the bench."""

import json
import pathlib

import click
from laburnumgate_standins import layout as layouts

from laburnumgate_bench import experiment
from laburnumgate_bench import measures


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, default=(1,))
@click.option("--minutes", default=10.0, help="Time in which requests arrive.")
@click.option("--load", default=0.85, help="Offered work over capacity.")
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(tuple(experiment.POLICIES)),
    default=tuple(experiment.POLICIES),
)
@click.option(
    "--layout",
    "names",
    multiple=True,
    type=click.Choice(tuple(layouts.BY_NAME)),
    default=tuple(layouts.BY_NAME),
)
@click.option(
    "--scenario",
    "scenarios",
    multiple=True,
    type=click.Choice(experiment.SCENARIOS),
    default=experiment.SCENARIOS,
)
@click.option("--json", "json_path", type=click.Path(path_type=pathlib.Path))
@click.option("--plot", "plot_path", type=click.Path(path_type=pathlib.Path))
def main(
    seeds: tuple[int, ...],
    minutes: float,
    load: float,
    policies: tuple[str, ...],
    names: tuple[str, ...],
    scenarios: tuple[str, ...],
    json_path: pathlib.Path | None,
    plot_path: pathlib.Path | None,
) -> None:
    """Measures the scheduling policy against earlier ones."""
    for name, definition in measures.DEFINITIONS.items():
        click.echo(f"{name}: {definition}.")
    outcomes = []
    for seed in seeds:
        for name in names:
            for scenario in scenarios:
                for policy in policies:
                    outcome = experiment.run(
                        layouts.BY_NAME[name],
                        scenario,
                        policy,
                        seed,
                        load,
                        int(minutes * 60_000),
                    )
                    outcomes.append(outcome)
                    _print(outcome)
    if json_path is not None:
        rows = [
            {
                "layout": outcome.layout,
                "scenario": outcome.scenario,
                "policy": outcome.policy,
                "seed": outcome.seed,
                "measures": outcome.measures,
            }
            for outcome in outcomes
        ]
        document = {"definitions": measures.DEFINITIONS, "runs": rows}
        json_path.write_text(json.dumps(document, indent=1) + "\n")
    if plot_path is not None:
        _plot(outcomes, plot_path)


def _print(outcome: experiment.Outcome) -> None:
    values = outcome.measures
    click.echo(
        f"\n{outcome.layout} {outcome.scenario} seed {outcome.seed} "
        f"policy {outcome.policy}"
    )
    for key, row in values["completion_ms"].items():
        slow = values["slowdown"][key]
        click.echo(
            f"  completion {key:22} n {row['count']:5} p50 {row['p50']:8.0f} "
            f"p95 {row['p95']:8.0f} p99 {row['p99']:8.0f} ms, slowdown "
            f"p50 {slow['p50']:.2f} p95 {slow['p95']:.2f} p99 {slow['p99']:.2f}"
        )
    for key, row in values["reclaim_ms"].items():
        click.echo(
            f"  reclaim {key:25} n {row['count']:5} p50 {row['p50']:8.0f} "
            f"p95 {row['p95']:8.0f} max {row['max']:8.0f} ms, later than "
            f"9.2 s: {values['late_guaranteed'][key]}"
        )
    for key in (
        "fragmentation",
        "arrangement",
        "zone_change_work",
        "late_urgent",
        "utilisation",
        "lost_work",
        "ran",
        "unfinished",
        "failed_sound",
    ):
        click.echo(f"  {key} {values[key]}")


def _plot(outcomes: list[experiment.Outcome], path: pathlib.Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(10, 5))
    for outcome in outcomes:
        times = [at_ms / 60_000 for at_ms, _ in outcome.fragmentation_over_time]
        shares = [share for _, share in outcome.fragmentation_over_time]
        label = f"{outcome.layout} {outcome.scenario} {outcome.policy}"
        axes.plot(times, shares, label=label, linewidth=0.8)
    axes.set_xlabel("minutes")
    axes.set_ylabel("fragmentation")
    axes.legend(fontsize="x-small")
    figure.savefig(path)


if __name__ == "__main__":
    main()
