"""Command line of the policy benchmark."""

import json
import pathlib

import click
from laburnumgate_standins import layout as layouts

from laburnumgate_bench import experiment
from laburnumgate_bench import measures
from laburnumgate_bench import timing


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, default=(1,))
@click.option(
    "--minutes", default=10.0, help="Minutes during which requests arrive."
)
@click.option(
    "--load", default=0.85, help="Offered work as a fraction of capacity."
)
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
@click.option(
    "--timing",
    "timed",
    is_flag=True,
    help="Measure scheduler times of one zone at three sizes.",
)
@click.option("--brief", is_flag=True, help="Print one line per run.")
@click.option("--json", "json_path", type=click.Path(path_type=pathlib.Path))
@click.option("--plot", "plot_path", type=click.Path(path_type=pathlib.Path))
def main(
    seeds: tuple[int, ...],
    minutes: float,
    load: float,
    policies: tuple[str, ...],
    names: tuple[str, ...],
    scenarios: tuple[str, ...],
    timed: bool,
    brief: bool,
    json_path: pathlib.Path | None,
    plot_path: pathlib.Path | None,
) -> None:
    """Compares the scheduling policy with the baseline policies."""
    if timed:
        _print_timing()
        return
    if not brief:
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
                    if brief:
                        _print_summary(outcome)
                    else:
                        _print_outcome(outcome)
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


def _print_timing() -> None:
    for row in timing.measure():
        click.echo(
            f"{row.size.endpoints:5} endpoints {row.size.accelerators:5} "
            f"accelerators {row.size.tasks:5} tasks: idle tick "
            f"{row.idle_tick_ms:.3f} ms, tick with one change "
            f"{row.changed_tick_ms:.3f} ms, gang {row.gang_ms:.3f} ms, "
            f"rebuild {row.rebuild_ms:.1f} ms"
        )


def _print_outcome(outcome: experiment.Outcome) -> None:
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


def _print_summary(outcome: experiment.Outcome) -> None:
    values = outcome.measures
    p95 = {k: int(row["p95"]) for k, row in values["completion_ms"].items()}
    delays_ms = [row["max"] for row in values["reclaim_ms"].values()]
    max_delay_ms = max(delays_ms, default=0.0)
    late = sum(values["late_guaranteed"].values())
    click.echo(
        f"{outcome.layout[:9]} {outcome.scenario:11} {outcome.seed:3} "
        f"{outcome.policy:10} p95 urgent {p95['urgent']:6} "
        f"normal {p95['normal']:6} batch {p95['batch']:6} "
        f"frag {values['fragmentation']:.3f} "
        f"arr {values['arrangement']:.3f} "
        f"change {values['zone_change_work']:.3f} "
        f"reclaim max {max_delay_ms:6.0f} late {late} "
        f"late urgent {values['late_urgent']:3} "
        f"util {values['utilisation']:.3f} lost {values['lost_work']:.3f} "
        f"failed {values['failed_sound']} open {values['unfinished']}"
    )


def _plot(outcomes: list[experiment.Outcome], path: pathlib.Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(10, 5))
    for outcome in outcomes:
        times = [at_ms / 60_000 for at_ms, _ in outcome.fragmentation_over_time]
        fractions = [
            fraction for _, fraction in outcome.fragmentation_over_time
        ]
        label = f"{outcome.layout} {outcome.scenario} {outcome.policy}"
        axes.plot(times, fractions, label=label, linewidth=0.8)
    axes.set_xlabel("minutes")
    axes.set_ylabel("fragmentation")
    axes.legend(fontsize="x-small")
    figure.savefig(path)


if __name__ == "__main__":
    main()
