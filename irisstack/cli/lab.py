"""`irisstack lab`: run scenarios and experiments, compare and report their results."""

import copy
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

from irisstack.cli import output
from irisstack.cli.capacity import capacity
from irisstack.configuration.document import DocumentError

if TYPE_CHECKING:
    from irisstack.lab.results import Run
    from irisstack.lab.scenario import Scenario

# The laboratory's libraries take a second to import, so each command imports only what it needs.

DEFAULT_RESULTS = Path("lab-results")

scenario_argument = click.argument("scenario")
seed_option = click.option("--seed", type=int, help="replaces the scenario's own seed")
set_option = click.option(
    "--set",
    "changes",
    multiple=True,
    metavar="KEY=VALUE",
    help="overrides a key of the scenario, for example --set traffic.rate=60.0",
)
out_option = click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=DEFAULT_RESULTS,
    show_default=True,
    help="directory for the results",
)


@click.group()
def lab() -> None:
    """Run scenarios in virtual time or on real sockets, audit the runs and compare them."""


lab.add_command(capacity)


def _hidden_alias(command: click.Command, name: str) -> click.Command:
    """Copy a command under its former name, which keeps working but is not listed in the help."""
    alias = copy.copy(command)
    alias.name, alias.hidden = name, True
    return alias


@contextmanager
def _progress_bar(description: str) -> Iterator[Callable[[float], None]]:
    """Show a progress bar on standard error if it is a terminal; yields a function that sets 0.0 to 1.0."""
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.percentage:>3.0f}%"),
        TimeRemainingColumn(),
        console=output.stderr_console(),
        transient=True,
    ) as progress:
        task = progress.add_task(description, total=1.0)
        yield lambda fraction: progress.update(task, completed=fraction)


def _load_scenario(name: str, changes: tuple[str, ...]) -> "Scenario":
    """Load a scenario and apply the overrides of --set; exits with a usage error if it is invalid."""
    import tomllib

    from irisstack.lab import scenario

    path = scenario.scenario_path(name)
    try:
        definition = scenario.read(path)
        overrides: dict[str, Any] = {}
        for change in changes:
            key, equals, value = change.partition("=")
            try:
                overrides[key] = tomllib.loads(f"x = {value}")["x"] if equals else None
            except tomllib.TOMLDecodeError:
                overrides[key] = value
            if not equals:
                output.fail(f"--set {change}: expected KEY=VALUE", output.USAGE_ERROR)
        return scenario.with_changes(definition, overrides, path) if overrides else definition
    except DocumentError as error:
        output.fail(str(error), output.USAGE_ERROR)


def _print_run(run: "Run", as_json: bool) -> None:
    """Print the results by message class, the scores and the broken rules."""
    import msgspec

    if as_json:
        output.print_json(msgspec.to_builtins(run))
        return
    results = ("delivered", "refused", "failed", "withdrawn", "none")
    rows = [
        [
            name,
            *(result_counts.get(result, 0) for result in results),
            run.by_class[name],
            *(
                run.delays[name][percentile_index] if run.delays[name] else None
                for percentile_index in (0, 2)
            ),
        ]
        for name, result_counts in run.ends_by_class.items()
    ]
    output.print_table(
        ["class", *results, "worth", "median s", "99 % s"],
        rows,
        False,
        f"{run.scenario}, {run.policy}, seed {run.seed}",
    )
    broken_rules = ", ".join(f"{name} ({count})" for name, count in run.breaches.items() if count)
    click.echo(
        f"score {run.score:.3f}  whole {run.whole:.3f}  worst 10 s {run.worst_window:.3f}  "
        f"worst class {run.worst_class:.3f}  attempts in vain a message {run.waste:.3f}"
    )
    click.echo(f"rules broken: {broken_rules}" if broken_rules else "all six rules kept")
    if run.not_a_result:
        click.echo(f"not a result: {run.not_a_result}")
    if run.partial:
        click.echo("partial: interrupted")


@lab.command()
@output.json_option
def scenarios(as_json: bool) -> None:
    """List the scenarios that are included in the package."""
    from irisstack.lab import scenario

    definitions = [scenario.read(path) for path in sorted(scenario.SCENARIO_DIRECTORY.glob("*.toml"))]
    output.print_table(
        ["name", "seconds", "nodes", "destinations", "shows"],
        [
            [
                definition.scenario.name,
                definition.scenario.length_s,
                definition.senders.count,
                sum(kind.count for kind in definition.kinds),
                definition.scenario.shows,
            ]
            for definition in definitions
        ],
        as_json,
    )


@lab.command()
@scenario_argument
@set_option
@output.json_option
def check(scenario: str, changes: tuple[str, ...], as_json: bool) -> None:
    """Check SCENARIO (a file, or the name of an included one) and print its size and troubles."""
    from irisstack.lab.world import build_world

    definition = _load_scenario(scenario, changes)
    world = build_world(definition)
    output.print_table(
        ["what", "value"],
        [
            ["name", definition.scenario.name],
            ["messages", len(world.messages)],
            ["nodes", len(world.senders)],
            ["destinations", len(world.destinations)],
            ["endpoints", len(world.endpoints)],
            [
                "slots of a node, least and most",
                f"{min(node.max_calls for node in world.senders)} to "
                f"{max(node.max_calls for node in world.senders)}",
            ],
            *(
                [
                    f"trouble: {incident.trouble.kind}",
                    f"{incident.starts_at:.1f} to {incident.ends_at:.1f} s, "
                    f"strikes {len(incident.nodes) or len(incident.destinations)}",
                ]
                for incident in world.incidents
            ),
        ],
        as_json,
    )


@lab.command()
@scenario_argument
@seed_option
@set_option
@click.option("--policy", default="module", show_default=True, help="decision policy of the nodes")
@out_option
@output.json_option
def model(
    scenario: str, seed: int | None, changes: tuple[str, ...], policy: str, out: Path, as_json: bool
) -> None:
    """Simulate SCENARIO in virtual time."""
    from irisstack.lab import results
    from irisstack.lab.baselines import POLICIES
    from irisstack.lab.virtual.play import play
    from irisstack.lab.world import build_world

    if policy not in POLICIES:
        output.fail(f"--policy: expected one of {', '.join(POLICIES)}, got {policy!r}", output.USAGE_ERROR)
    definition = _load_scenario(scenario, changes)
    seed = definition.scenario.seed if seed is None else seed
    world = build_world(definition, seed)
    with _progress_bar(definition.scenario.name) as progress:
        play_result = play(world, POLICIES[policy], progress)
    run, score, breaches = results.audit_run(
        world,
        play_result.ledger,
        way="model",
        policy=policy,
        seed=seed,
        cpu_s=play_result.cpu_s,
        events=play_result.events,
    )
    _save_run(
        out / f"{definition.scenario.name}-model-{policy}-{seed}",
        world,
        run,
        score,
        breaches,
        play_result.ledger,
    )
    _print_run(run, as_json)
    if not run.rules_kept:
        raise SystemExit(output.FAILED)


@lab.command()
@scenario_argument
@seed_option
@set_option
@out_option
@output.json_option
def run(scenario: str, seed: int | None, changes: tuple[str, ...], out: Path, as_json: bool) -> None:
    """Run SCENARIO on real sockets, in real time, with one process for each node."""
    _run_on_sockets(_load_scenario(scenario, changes), seed, out, as_json)


@lab.command(name="try")
@out_option
def try_(out: Path) -> None:
    """Run the scenario short-day with two real nodes; a first look at the program."""
    definition = _load_scenario("short-day", ())
    destinations = sum(kind.count for kind in definition.kinds)
    click.echo(
        f"Two nodes, {destinations} destinations, {definition.scenario.length_s:g} s: "
        f"{definition.scenario.shows}",
        err=True,
    )
    _run_on_sockets(definition, None, out, False)
    click.echo(
        "Change a value and run it again: irisstack lab run short-day --set traffic.rate=60.0", err=True
    )


def _run_on_sockets(definition: "Scenario", seed: int | None, out: Path, as_json: bool) -> None:
    from irisstack.lab import results
    from irisstack.lab.sockets.play import play
    from irisstack.lab.sockets.run_context import RunError
    from irisstack.lab.world import build_world

    seed = definition.scenario.seed if seed is None else seed
    world = build_world(definition, seed)
    folder = out / f"{definition.scenario.name}-sockets-{seed}"
    try:
        with _progress_bar(definition.scenario.name) as progress:
            play_result = play(world, folder / "nodes", progress)
    except (RunError, OSError) as error:
        output.fail(str(error))
    run, score, breaches = results.audit_run(
        world, play_result.ledger, way="sockets", policy="module", seed=seed, cpu_s=play_result.cpu_s
    )
    run.partial, run.not_a_result = play_result.partial, play_result.not_a_result
    _save_run(folder, world, run, score, breaches, play_result.ledger)
    _print_run(run, as_json)
    if not run.rules_kept or run.partial or run.not_a_result:
        raise SystemExit(output.FAILED)


@lab.command()
@scenario_argument
@click.option(
    "--first",
    "first_rate",
    type=click.FloatRange(1.0),
    default=50.0,
    show_default=True,
    help="rate of the first step, in messages per second",
)
@click.option("--steps", type=click.IntRange(1, 30), default=12, show_default=True)
@click.option(
    "--seconds",
    "step_seconds",
    type=click.FloatRange(2.0, 600.0),
    default=8.0,
    show_default=True,
    help="duration of a step, in seconds",
)
@set_option
@out_option
@output.json_option
def capacity_search(
    scenario: str,
    first_rate: float,
    steps: int,
    step_seconds: float,
    changes: tuple[str, ...],
    out: Path,
    as_json: bool,
) -> None:
    """Raise the rate of SCENARIO, without its troubles, in steps until one real node is saturated."""
    from irisstack.lab import capacity_search as search
    from irisstack.lab.sockets.run_context import RunError

    definition = _load_scenario(scenario, changes)
    folder = out / f"{definition.scenario.name}-capacity-search"
    steps_played: list[search.LoadStep] = []
    try:
        with _progress_bar("capacity search") as progress:
            steps_played.extend(search.search(definition, first_rate, steps, step_seconds, progress))
        folder.mkdir(parents=True, exist_ok=True)
        search.write_page(folder / "report.html", definition.scenario.name, steps_played)
    except (RunError, OSError) as error:
        output.fail(str(error))
    output.print_table(search.COLUMNS, search.rows(steps_played), as_json)
    click.echo(search.summary(steps_played), err=True)


lab.add_command(_hidden_alias(capacity_search, "knee"))


def _save_run(folder: Path, world: Any, run: Any, score: Any, breaches: Any, entries: Any) -> None:
    """Save the results of a run and its report page."""
    from irisstack.lab import report, results

    try:
        results.save(folder, world.scenario, run, entries)
        report.write_atomically(folder / "report.html", report.run_page(world, run, score, breaches, entries))
    except OSError as error:
        output.fail(f"{folder}: cannot be written: {error.strerror}")
    click.echo(f"results in {folder}, report in {folder / 'report.html'}", err=True)


@lab.command()
@click.argument("experiment", type=click.Path(path_type=Path))
@click.option(
    "--workers", type=click.IntRange(1), help="number of processes; defaults to the number of cores"
)
@out_option
@output.json_option
def sweep(experiment: Path, workers: int | None, out: Path, as_json: bool) -> None:
    """Simulate each scenario, variant and seed of EXPERIMENT; resumes a sweep that was interrupted."""
    from irisstack.lab import experiment as experiments

    try:
        definition = experiments.read(experiment)
        jobs = experiments.build_jobs(definition, experiment)
    except DocumentError as error:
        output.fail(str(error), output.USAGE_ERROR)
    folder = out / definition.experiment.name
    runs: list[Run] = []
    try:
        with _progress_bar(definition.experiment.name) as progress:
            runs.extend(
                experiments.sweep(
                    jobs, folder / "runs.jsonl", workers, lambda done, total: progress(done / total)
                )
            )
    except OSError as error:
        output.fail(f"{folder}: cannot be written: {error.strerror}")
    except ValueError as error:
        output.fail(str(error))
    except KeyboardInterrupt:
        output.fail(
            f"interrupted: {len(runs)} of {len(jobs)} runs saved in {folder}; the same command resumes"
        )
    job_order = {job.key: position for position, job in enumerate(jobs)}
    runs.sort(key=lambda run: job_order[run.scenario, run.variant, run.seed, run.fingerprint])
    _write_sweep_page(folder, definition.experiment.name, definition.experiment.asks, runs)
    _print_summaries(runs, as_json)


def _print_summaries(runs: "list[Run]", as_json: bool) -> None:
    from irisstack.lab import compare

    columns = ("scenario", "variant", "runs", "score", "low", "high", "whole", "in vain", "rules broken in")
    output.print_table(
        columns,
        [
            [
                summary.scenario,
                summary.variant,
                summary.runs,
                summary.score,
                summary.low,
                summary.high,
                summary.whole,
                summary.waste,
                summary.runs_with_breaches,
            ]
            for summary in compare.summarize(runs)
        ],
        as_json,
    )


def _write_sweep_page(folder: Path, name: str, asks: str, runs: "list[Run]") -> None:
    from irisstack.lab import sweep_page

    path = folder / "report.html"
    sweep_page.write(path, name, asks, runs)
    click.echo(f"results in {folder}, report in {path}", err=True)


def _load_runs(path: Path) -> "list[Run]":
    """Load the runs of a sweep (its directory or file), or the one run of a run's directory."""
    from irisstack.lab import experiment, results

    try:
        if (path / "run.json").exists():
            return [results.load(path)]
        runs_file = path / "runs.jsonl" if path.is_dir() else path
        if not runs_file.exists():
            output.fail(f"{path}: no results found", output.USAGE_ERROR)
        return experiment.load_runs(runs_file)
    except (OSError, ValueError) as error:
        output.fail(str(error))


@lab.command()
@click.argument("a")
@click.argument("b")
@click.option(
    "--results",
    "sweep_path",
    type=click.Path(path_type=Path),
    help="results of the sweep that has the variants A and B",
)
@output.json_option
def compare(a: str, b: str, sweep_path: Path | None, as_json: bool) -> None:
    """Compare, seed by seed, two variants of a sweep (with --results), or two result directories A and B."""
    from irisstack.lab import compare as comparison

    if sweep_path is not None:
        runs = _load_runs(sweep_path)
        names = {run.variant for run in runs}
        for name in (a, b):
            if name not in names:
                output.fail(
                    f"no variant {name!r} in {sweep_path}: expected one of {', '.join(sorted(names))}",
                    output.USAGE_ERROR,
                )
        runs_a, runs_b = ([run for run in runs if run.variant == name] for name in (a, b))
    else:
        runs_a, runs_b = _load_runs(Path(a)), _load_runs(Path(b))
    differences = comparison.differences(runs_a, runs_b)
    if not differences:
        output.fail("nothing to compare: A and B have no scenario and seed in common", output.USAGE_ERROR)
    columns = ("scenario", "figure", "pairs", a, b, "difference", "low", "high", "outcome")
    output.print_table(
        columns,
        [
            [
                difference.scenario,
                difference.metric,
                difference.pairs,
                difference.mean_a,
                difference.mean_b,
                difference.difference,
                difference.low,
                difference.high,
                difference.conclusion(a, b),
            ]
            for difference in differences
        ],
        as_json,
    )


@lab.command()
@click.argument("folder", type=click.Path(path_type=Path))
def report(folder: Path) -> None:
    """Regenerate the report of a saved run or sweep, from its ledger or its runs."""
    from irisstack.configuration.document import check as validate
    from irisstack.configuration.document import parse
    from irisstack.lab import ledger, report, results
    from irisstack.lab.scenario import Scenario
    from irisstack.lab.world import build_world

    if not (folder / "run.json").exists():
        runs = _load_runs(folder)
        _write_sweep_page(folder, folder.name, "", runs)
        return
    try:
        saved_run = results.load(folder)
        scenario = validate(folder / "scenario.json", parse(folder / "scenario.json"), Scenario)
        entries = ledger.read(folder / "ledger.jsonl.gz")
    except (OSError, ValueError, EOFError, DocumentError) as error:
        output.fail(str(error))
    world = build_world(scenario, saved_run.seed)
    run, score, breaches = results.audit_run(
        world, entries, way=saved_run.way, policy=saved_run.policy, seed=saved_run.seed
    )
    run.versions, run.partial, run.not_a_result = (
        saved_run.versions,
        saved_run.partial,
        saved_run.not_a_result,
    )
    report.write_atomically(folder / "report.html", report.run_page(world, run, score, breaches, entries))
    click.echo(f"report in {folder / 'report.html'}", err=True)
