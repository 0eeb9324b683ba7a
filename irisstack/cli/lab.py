"""`irisstack lab`: play scenarios, sweep experiments, compare and report."""

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

# The laboratory's libraries take a second to load, so that each command imports what it needs itself.

RESULTS = Path("lab-results")

scenario_argument = click.argument("scenario")
seed_option = click.option("--seed", type=int, help="instead of the scenario's own")
set_option = click.option(
    "--set",
    "changes",
    multiple=True,
    metavar="KEY=VALUE",
    help="a key that is other: --set traffic.rate=60.0",
)
out_option = click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=RESULTS,
    show_default=True,
    help="the folder that results go to",
)


@click.group()
def lab() -> None:
    """Play described worlds in virtual time or on real sockets, audit and compare them."""


lab.add_command(capacity)


def _hidden_alias(command: click.Command, name: str) -> click.Command:
    """A command under a former name: it works as before and is not listed."""
    alias = copy.copy(command)
    alias.name, alias.hidden = name, True
    return alias


@contextmanager
def _bar(what: str) -> Iterator[Callable[[float], None]]:
    """A progress bar on standard error, from 0.0 to 1.0; nothing where that is no terminal."""
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.percentage:>3.0f}%"),
        TimeRemainingColumn(),
        console=output.talk(),
        transient=True,
    ) as progress:
        task = progress.add_task(what, total=1.0)
        yield lambda done: progress.update(task, completed=done)


def _scenario(name: str, changes: tuple[str, ...]) -> "Scenario":
    """The scenario asked for; a bad one ends the command."""
    import tomllib

    from irisstack.lab import scenario

    path = scenario.scenario_path(name)
    try:
        found = scenario.read(path)
        told: dict[str, Any] = {}
        for change in changes:
            key, equals, value = change.partition("=")
            try:
                told[key] = tomllib.loads(f"x = {value}")["x"] if equals else None
            except tomllib.TOMLDecodeError:
                told[key] = value
            if not equals:
                output.fail(f"--set {change}: KEY=VALUE is due", output.ASKED_WRONGLY)
        return scenario.with_changes(found, told, path) if told else found
    except DocumentError as error:
        output.fail(str(error), output.ASKED_WRONGLY)


def _show(run: "Run", as_json: bool) -> None:
    """What became of every message, and the verdict."""
    import msgspec

    if as_json:
        output.print_json(msgspec.to_builtins(run))
        return
    results = ("delivered", "refused", "failed", "withdrawn", "none")
    rows = [
        [
            name,
            *(ends.get(result, 0) for result in results),
            run.by_class[name],
            *(run.delays[name][i] if run.delays[name] else None for i in (0, 2)),
        ]
        for name, ends in run.ends_by_class.items()
    ]
    output.table(
        ["class", *results, "worth", "median s", "99 % s"],
        rows,
        False,
        f"{run.scenario}, {run.policy}, seed {run.seed}",
    )
    broken = ", ".join(f"{name} ({count})" for name, count in run.breaches.items() if count)
    click.echo(
        f"score {run.score:.3f}  whole {run.whole:.3f}  worst 10 s {run.worst_window:.3f}  "
        f"worst class {run.worst_class:.3f}  attempts in vain a message {run.waste:.3f}"
    )
    click.echo(f"rules broken: {broken}" if broken else "all six rules kept")
    if run.not_a_result:
        click.echo(f"not a result: {run.not_a_result}")
    if run.partial:
        click.echo("partial: interrupted")


@lab.command()
@output.json_option
def scenarios(as_json: bool) -> None:
    """List the scenarios that come with the program."""
    from irisstack.lab import scenario

    found = [scenario.read(path) for path in sorted(scenario.SCENARIO_DIRECTORY.glob("*.toml"))]
    output.table(
        ["name", "seconds", "nodes", "destinations", "shows"],
        [
            [
                s.scenario.name,
                s.scenario.length_s,
                s.senders.count,
                sum(k.count for k in s.kinds),
                s.scenario.shows,
            ]
            for s in found
        ],
        as_json,
    )


@lab.command()
@scenario_argument
@set_option
@output.json_option
def check(scenario: str, changes: tuple[str, ...], as_json: bool) -> None:
    """Check SCENARIO (a file, or the name of a shipped one) and tell what it comes to."""
    from irisstack.lab.world import build_world

    found = _scenario(scenario, changes)
    world = build_world(found)
    output.table(
        ["what", "value"],
        [
            ["name", found.scenario.name],
            ["messages", len(world.messages)],
            ["nodes", len(world.senders)],
            ["destinations", len(world.destinations)],
            ["endpoints", len(world.endpoints)],
            [
                "slots of a node, least and most",
                f"{min(s.max_calls for s in world.senders)} to {max(s.max_calls for s in world.senders)}",
            ],
            *(
                [
                    f"trouble: {i.trouble.kind}",
                    f"{i.starts_at:.1f} to {i.ends_at:.1f} s, strikes {len(i.nodes) or len(i.destinations)}",
                ]
                for i in world.incidents
            ),
        ],
        as_json,
    )


@lab.command()
@scenario_argument
@seed_option
@set_option
@click.option("--policy", default="module", show_default=True, help="what decides in the nodes")
@out_option
@output.json_option
def model(
    scenario: str, seed: int | None, changes: tuple[str, ...], policy: str, out: Path, as_json: bool
) -> None:
    """Play SCENARIO in virtual time."""
    from irisstack.lab import results
    from irisstack.lab.baselines import POLICIES
    from irisstack.lab.virtual.play import play
    from irisstack.lab.world import build_world

    if policy not in POLICIES:
        output.fail(f"--policy: one of {', '.join(POLICIES)} is due, not {policy!r}", output.ASKED_WRONGLY)
    found = _scenario(scenario, changes)
    seed = found.scenario.seed if seed is None else seed
    world = build_world(found, seed)
    with _bar(found.scenario.name) as progress:
        played = play(world, POLICIES[policy], progress)
    run, score, breaches = results.audit_run(
        world, played.ledger, way="model", policy=policy, seed=seed, cpu_s=played.cpu_s, events=played.events
    )
    _keep(out / f"{found.scenario.name}-model-{policy}-{seed}", world, run, score, breaches, played.ledger)
    _show(run, as_json)
    if not run.rules_kept:
        raise SystemExit(output.FAILED)


@lab.command()
@scenario_argument
@seed_option
@set_option
@out_option
@output.json_option
def run(scenario: str, seed: int | None, changes: tuple[str, ...], out: Path, as_json: bool) -> None:
    """Play SCENARIO on real sockets, in real time, with one real process for each node."""
    _run(_scenario(scenario, changes), seed, out, as_json)


@lab.command(name="try")
@out_option
def try_(out: Path) -> None:
    """Play a short day with two real nodes; the first thing to do with the program."""
    found = _scenario("short-day", ())
    partners = sum(kind.count for kind in found.kinds)
    click.echo(
        f"Two nodes, {partners} partners, {found.scenario.length_s:g} s: {found.scenario.shows}", err=True
    )
    _run(found, None, out, False)
    click.echo(
        "Change a number and look again: irisstack lab run short-day --set traffic.rate=60.0", err=True
    )


def _run(found: "Scenario", seed: int | None, out: Path, as_json: bool) -> None:
    from irisstack.lab import results
    from irisstack.lab.sockets.play import play
    from irisstack.lab.sockets.run_context import RunError
    from irisstack.lab.world import build_world

    seed = found.scenario.seed if seed is None else seed
    world = build_world(found, seed)
    folder = out / f"{found.scenario.name}-sockets-{seed}"
    try:
        with _bar(found.scenario.name) as progress:
            played = play(world, folder / "nodes", progress)
    except (RunError, OSError) as error:
        output.fail(str(error))
    run, score, breaches = results.audit_run(
        world, played.ledger, way="sockets", policy="module", seed=seed, cpu_s=played.cpu_s
    )
    run.partial, run.not_a_result = played.partial, played.not_a_result
    _keep(folder, world, run, score, breaches, played.ledger)
    _show(run, as_json)
    if not run.rules_kept or run.partial or run.not_a_result:
        raise SystemExit(output.FAILED)


@lab.command()
@scenario_argument
@click.option(
    "--first",
    type=click.FloatRange(1.0),
    default=50.0,
    show_default=True,
    help="messages a second of the first step",
)
@click.option("--steps", type=click.IntRange(1, 30), default=12, show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(2.0, 600.0), default=8.0, show_default=True, help="length of a step"
)
@set_option
@out_option
@output.json_option
def capacity_search(
    scenario: str,
    first: float,
    steps: int,
    seconds: float,
    changes: tuple[str, ...],
    out: Path,
    as_json: bool,
) -> None:
    """Raise the rate step by step on one real node, without SCENARIO's troubles, until it is saturated."""
    from irisstack.lab import capacity_search as search
    from irisstack.lab.sockets.run_context import RunError

    found = _scenario(scenario, changes)
    folder = out / f"{found.scenario.name}-capacity-search"
    steps_played: list[search.LoadStep] = []
    try:
        with _bar("capacity search") as progress:
            steps_played.extend(search.search(found, first, steps, seconds, progress))
        folder.mkdir(parents=True, exist_ok=True)
        search.write_page(folder / "report.html", found.scenario.name, steps_played)
    except (RunError, OSError) as error:
        output.fail(str(error))
    output.table(search.COLUMNS, search.rows(steps_played), as_json)
    click.echo(search.summary(steps_played), err=True)


lab.add_command(_hidden_alias(capacity_search, "knee"))


def _keep(folder: Path, world: Any, run: Any, score: Any, breaches: Any, entries: Any) -> None:
    """Save a run with its page."""
    from irisstack.lab import report, results

    try:
        results.save(folder, world.scenario, run, entries)
        report.write_atomically(folder / "report.html", report.run_page(world, run, score, breaches, entries))
    except OSError as error:
        output.fail(f"{folder}: cannot be written: {error.strerror}")
    click.echo(f"kept in {folder}, report in {folder / 'report.html'}", err=True)


@lab.command()
@click.argument("experiment", type=click.Path(path_type=Path))
@click.option("--workers", type=click.IntRange(1), help="processes; all cores unless told")
@out_option
@output.json_option
def sweep(experiment: Path, workers: int | None, out: Path, as_json: bool) -> None:
    """Play every scenario, variant and seed of EXPERIMENT; goes on where an earlier one was stopped."""
    from irisstack.lab import experiment as experiments

    try:
        told = experiments.read(experiment)
        work = experiments.build_jobs(told, experiment)
    except DocumentError as error:
        output.fail(str(error), output.ASKED_WRONGLY)
    folder = out / told.experiment.name
    runs: list[Run] = []
    try:
        with _bar(told.experiment.name) as progress:
            runs.extend(
                experiments.sweep(work, folder / "runs.jsonl", workers, lambda done, of: progress(done / of))
            )
    except OSError as error:
        output.fail(f"{folder}: cannot be written: {error.strerror}")
    except ValueError as error:
        output.fail(str(error))
    except KeyboardInterrupt:
        output.fail(
            f"interrupted with {len(runs)} of {len(work)} runs kept in {folder}; the same command goes on"
        )
    asked = {job.key: place for place, job in enumerate(work)}
    runs.sort(key=lambda run: asked[run.scenario, run.variant, run.seed, run.fingerprint])
    _write_sweep_page(folder, told.experiment.name, told.experiment.asks, runs)
    _summaries(runs, as_json)


def _summaries(runs: "list[Run]", as_json: bool) -> None:
    from irisstack.lab import compare

    columns = ("scenario", "variant", "runs", "score", "low", "high", "whole", "in vain", "rules broken in")
    output.table(
        columns,
        [
            [s.scenario, s.variant, s.runs, s.score, s.low, s.high, s.whole, s.waste, s.runs_with_breaches]
            for s in compare.summarize(runs)
        ],
        as_json,
    )


def _write_sweep_page(folder: Path, name: str, asks: str, runs: "list[Run]") -> None:
    from irisstack.lab import sweep_page

    path = folder / "report.html"
    sweep_page.write(path, name, asks, runs)
    click.echo(f"kept in {folder}, report in {path}", err=True)


def _runs(path: Path) -> "list[Run]":
    """The runs of a sweep's folder or file, or the one of a run's folder."""
    from irisstack.lab import experiment, results

    try:
        if (path / "run.json").exists():
            return [results.load(path)]
        file = path / "runs.jsonl" if path.is_dir() else path
        if not file.exists():
            output.fail(f"{path}: no results there", output.ASKED_WRONGLY)
        return experiment.load_runs(file)
    except (OSError, ValueError) as error:
        output.fail(str(error))


@lab.command()
@click.argument("a")
@click.argument("b")
@click.option(
    "--results", "where", type=click.Path(path_type=Path), help="the sweep whose variants A and B are"
)
@output.json_option
def compare(a: str, b: str, where: Path | None, as_json: bool) -> None:
    """Compare two variants of a sweep (with --results), or two folders of results A and B, seed by seed."""
    from irisstack.lab import compare as comparing

    if where is not None:
        runs = _runs(where)
        names = {run.variant for run in runs}
        for name in (a, b):
            if name not in names:
                output.fail(
                    f"no variant {name!r} in {where}; there are {', '.join(sorted(names))}",
                    output.ASKED_WRONGLY,
                )
        left, right = ([run for run in runs if run.variant == name] for name in (a, b))
    else:
        left, right = _runs(Path(a)), _runs(Path(b))
    found = comparing.differences(left, right)
    if not found:
        output.fail("nothing to compare: no scenario and seed that both have", output.ASKED_WRONGLY)
    columns = ("scenario", "figure", "pairs", a, b, "difference", "low", "high", "outcome")
    output.table(
        columns,
        [
            [
                d.scenario,
                d.metric,
                d.pairs,
                d.mean_a,
                d.mean_b,
                d.difference,
                d.low,
                d.high,
                d.conclusion(a, b),
            ]
            for d in found
        ],
        as_json,
    )


@lab.command()
@click.argument("folder", type=click.Path(path_type=Path))
def report(folder: Path) -> None:
    """Write the page of a kept run or sweep anew, from its ledger or its runs."""
    from irisstack.configuration.document import check as checked
    from irisstack.configuration.document import parse
    from irisstack.lab import ledger, report, results
    from irisstack.lab.scenario import Scenario
    from irisstack.lab.world import build_world

    if not (folder / "run.json").exists():
        runs = _runs(folder)
        _write_sweep_page(folder, folder.name, "", runs)
        return
    try:
        kept = results.load(folder)
        scenario = checked(folder / "scenario.json", parse(folder / "scenario.json"), Scenario)
        entries = ledger.read(folder / "ledger.jsonl.gz")
    except (OSError, ValueError, EOFError, DocumentError) as error:
        output.fail(str(error))
    world = build_world(scenario, kept.seed)
    run, score, breaches = results.audit_run(world, entries, way=kept.way, policy=kept.policy, seed=kept.seed)
    run.versions, run.partial, run.not_a_result = kept.versions, kept.partial, kept.not_a_result
    report.write_atomically(folder / "report.html", report.run_page(world, run, score, breaches, entries))
    click.echo(f"report in {folder / 'report.html'}", err=True)
