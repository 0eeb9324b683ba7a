"""The tables of the page, as Markdown. Pure."""

from collections.abc import Callable, Sequence

from irisstack.lab.capacity import rows, targets, units
from irisstack.lab.capacity.fit import Fit, Form
from irisstack.lab.capacity.outlook import FAR_BEYOND, MeasuredOutlook, Outlook, Row, bounded, percent
from irisstack.lab.capacity.registry import ExpectedSlope
from irisstack.lab.capacity.template import NOT_MEASURED, fill, marked

EMPTY = "-"


def markdown(columns: Sequence[str], cells: Sequence[Sequence[str]]) -> str:
    """A Markdown table."""
    lines = [columns, ["---"] * len(columns), *cells]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def target_table(outlook: Outlook) -> str:
    """The numbers to plan for and what follows from them."""
    cells = [
        ["nodes", f"{targets.NODES}"],
        ["events a second, all nodes", f"{targets.EVENTS_PER_S:,}"],
        ["events a second, one node", units.number(targets.NODE_EVENTS_PER_S)],
        ["processor time for one event, one core", units.quantity(targets.EVENT_PROCESSOR_S, "s")],
        ["destinations", f"{targets.DESTINATIONS:,}"],
        ["of them down at any time", f"{targets.DESTINATIONS_DOWN:,}"],
        ["events in a backlog, all nodes", f"{targets.BACKLOG_EVENTS:,}"],
        ["events in a backlog, one node", f"{targets.NODE_BACKLOG_EVENTS:,}"],
        ["nodes in a zone, in a region", f"{targets.ZONE_NODES}, {targets.REGION_NODES}"],
        ["seconds between two changes of settings", units.number(targets.SETTINGS_CHANGE_INTERVAL_S)],
        ["a change is in force everywhere within", units.quantity(targets.SETTINGS_IN_FORCE_WITHIN_S, "s")],
        [
            "for control, one node",
            f"{targets.CONTROL_CORE_SHARE:.1%} of a core, "
            f"{units.quantity(targets.CONTROL_MEMORY_BYTES, 'bytes')}, "
            f"{units.quantity(targets.CONTROL_BYTES_PER_S, 'bytes/s')}",
        ],
        ["machines for control", f"{targets.CONTROL_MACHINES}"],
        ["memory of a node (ours)", units.quantity(targets.ASSUMED_NODE_MEMORY_BYTES, "bytes")],
        ["disk of a node (ours)", units.quantity(targets.ASSUMED_NODE_DISK_BYTES, "bytes")],
        ["changes of the list a second (ours)", units.number(targets.ASSUMED_LIST_CHANGES_PER_S)],
    ]
    return markdown(["what", "size"], cells)


def ranking_table(outlook: Outlook) -> str:
    """Every budget and the part of the target size at which it is reached, smallest first."""
    columns = ["breaks at", "of the target", "part", "at the target", "factor", "budget", "from", "slope"]
    missing = [_missing_rank(slope) for slope in outlook.missing if slope.budgets]
    return markdown(columns, [*(_rank(row) for row in outlook.rows), *missing])


def _rank(row: Row) -> list[str]:
    result = row.outlook.result
    value, fraction = row.outlook.at_target, row.breaking_fraction
    at_target = EMPTY if value is None else units.quantity(value, result.unit)
    part = EMPTY if fraction is None else percent(fraction, row.crossing.bound)
    return [
        f"{breaking_size(row)} {result.variable}",
        marked(part) if row.breaks_before_target else part,
        result.title,
        marked(at_target) if row.over_at_target else at_target,
        factor(row.outlook),
        f"{units.quantity(row.budget.limit, result.unit)}: {row.budget.reason}",
        row.budget.source.value,
        result.slope,
    ]


def breaking_size(row: Row) -> str:
    """The size at which the budget is reached; a size far beyond the target is no figure to go by."""
    fraction = row.breaking_fraction
    if fraction is not None and fraction > FAR_BEYOND:
        return "far beyond the target's"
    return bounded(units.number(row.crossing.size), row.crossing.bound)


def _missing_rank(slope: ExpectedSlope) -> list[str]:
    budget = slope.budgets[0]
    reason, source = budget.reason, budget.source.value
    return [NOT_MEASURED, EMPTY, slope.subject, NOT_MEASURED, EMPTY, reason, source, slope.name]


def slope_table(outlook: Outlook) -> str:
    """Every slope with its fit, its residual and how far it is carried."""
    columns = ["slope", "role", "what", "fit", "residual", "factor", "at the target", "carried by"]
    cells = [_slope(measured) for measured in outlook.measured]
    cells += [
        [
            slope.name,
            slope.role.value,
            slope.subject,
            NOT_MEASURED,
            EMPTY,
            EMPTY,
            NOT_MEASURED,
            slope.mechanism,
        ]
        for slope in outlook.missing
    ]
    return markdown(columns, cells)


def _slope(measured: MeasuredOutlook) -> list[str]:
    result, expected, curve = measured.result, measured.expected, measured.curve
    value = measured.at_target
    return [
        result.slope,
        EMPTY if expected is None else expected.role.value,
        result.title,
        measured.problem if curve is None else formula(curve.fit, result.variable, result.unit),
        EMPTY if curve is None else f"{curve.fit.residual:.1%}",
        factor(measured),
        EMPTY if value is None else fill(f"{{{result.slope}}}", Outlook((measured,), (), ())),
        "no budget set" if expected is None else expected.mechanism,
    ]


def factor(measured: MeasuredOutlook) -> str:
    """How far a slope is carried to the target size."""
    if measured.factor is None:
        return EMPTY
    return "measured" if measured.factor <= 1.0 else units.number(measured.factor)


def formula(fit: Fit, variable: str, unit: str) -> str:
    """A fitted function in words."""
    factor = units.quantity(fit.factor, unit)
    if fit.form is Form.POWER:
        return f"{factor} x ({variable})^{fit.exponent:.2f}"
    return f"{units.quantity(fit.constant, unit)} + {factor} each of {variable}"


def point_table(outlook: Outlook) -> str:
    """The points behind each slope, with what gave them."""
    columns = ["slope", "sizes and values", "runs", "command", "commit", "date", "machine", "notes"]
    return markdown(columns, [_points(measured) for measured in outlook.measured])


def _points(measured: MeasuredOutlook) -> list[str]:
    result = measured.result
    values = [
        f"{units.number(point.size)}: {units.quantity(point.value, result.unit)}" for point in result.points
    ]
    runs = sorted({point.runs for point in result.points})
    return [
        result.slope,
        "; ".join(values),
        ", ".join(str(count) for count in runs),
        f"`{result.command}`",
        result.commit,
        result.measured_at,
        result.machine,
        result.notes.replace("|", "/"),
    ]


def role_table(outlook: Outlook) -> str:
    """What each role holds, sends and spends."""
    cells = [
        [row.role, row.resource, fill(row.at_target, outlook), row.mechanism] for row in rows.load().roles
    ]
    return markdown(["role", "resource", "at the size to plan for", "carried by"], cells)


def number_table(outlook: Outlook) -> str:
    """Each of the operators' numbers."""
    cells = [
        [fill(row.number, outlook), fill(row.meets, outlook), row.mechanism] for row in rows.load().numbers
    ]
    return markdown(["number", "what it meets today", "carried by"], cells)


def failure_table(outlook: Outlook) -> str:
    """Each kind of failure in time."""
    columns = ["failure", "first second", "first minute", "recovery", "what bounds the wave"]
    texts = [
        (row.failure, row.first_second, row.first_minute, row.recovery, row.bound)
        for row in rows.load().failures
    ]
    return markdown(columns, [[fill(text, outlook) for text in line] for line in texts])


TABLES: dict[str, Callable[[Outlook], str]] = {
    "targets": target_table,
    "ranking": ranking_table,
    "roles": role_table,
    "numbers": number_table,
    "failures": failure_table,
    "slopes": slope_table,
    "points": point_table,
}
"""By the name in the page's markers."""
