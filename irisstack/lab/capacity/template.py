"""Texts of the page's tables with slopes and targets in them.

`{name}` becomes a slope's value at its target size, `{name@840}` at another size, `{name*420}` so many
times its value, and `{NODES}` a constant of `targets`, which may also stand for the size or the multiple. A
value over its budget is marked; a slope without a result reads "not measured".
"""

import re

from irisstack.lab.capacity import targets, units
from irisstack.lab.capacity.outlook import Outlook

NOT_MEASURED = "not measured"
OVER = "over budget"
CONSTANT = r"[A-Z][A-Z_]*"
REFERENCE = re.compile(
    rf"\{{(?P<constant>{CONSTANT})\}}"
    rf"|\{{(?P<name>[a-z0-9-]+)(?:@(?P<size>{CONSTANT}|[0-9.]+))?(?:\*(?P<times>{CONSTANT}|[0-9.]+))?\}}"
)


class TemplateError(Exception):
    """A text that names a constant which `targets` lacks."""


def slopes_in(text: str) -> set[str]:
    """The names of the slopes that a text takes up."""
    return {found["name"] for found in REFERENCE.finditer(text) if found["name"]}


def fill(text: str, outlook: Outlook) -> str:
    """The text with every reference replaced; raises `TemplateError`."""
    return REFERENCE.sub(lambda found: _replacement(found, outlook), text)


def marked(text: str) -> str:
    """A text marked as over its budget."""
    return f"**{text}, {OVER}**"


def _replacement(found: "re.Match[str]", outlook: Outlook) -> str:
    if found["constant"]:
        return units.number(_number(found["constant"]))
    return _slope_value(found, outlook)


def _slope_value(found: "re.Match[str]", outlook: Outlook) -> str:
    measured = outlook.find(found["name"])
    if measured is None or measured.curve is None or measured.expected is None:
        return NOT_MEASURED
    size = _number(found["size"]) if found["size"] else measured.expected.target_size
    if size is None:
        return NOT_MEASURED
    value, unit = measured.curve.at(size), measured.result.unit
    if found["times"]:
        return units.quantity(value * _number(found["times"]), unit)
    over = any(value > budget.limit for budget in measured.expected.budgets)
    text = units.quantity(value, unit)
    return marked(text) if over else text


def _number(text: str) -> float:
    if not text[0].isupper():
        return float(text)
    if not hasattr(targets, text):
        raise TemplateError(f"{text}: no constant of targets")
    return float(getattr(targets, text))
