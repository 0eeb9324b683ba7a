"""The page: tables between markers are written from the results, prose around them stays as it is.

A table stands between `<!-- table: NAME -->` and `<!-- end: NAME -->`, each on a line of its own.
"""

import re

from irisstack.lab.capacity.outlook import Outlook
from irisstack.lab.capacity.tables import TABLES

BLOCK = re.compile(
    r"^<!-- table: (?P<name>[a-z]+) -->\n(?P<table>.*?)^<!-- end: (?P=name) -->$", re.DOTALL | re.MULTILINE
)


class PageError(Exception):
    """A page whose markers are not as they have to be."""


def written(page: str, outlook: Outlook) -> str:
    """The page with every table as the results give it; raises `PageError`."""
    names = [block["name"] for block in BLOCK.finditer(page)]
    if sorted(names) != sorted(TABLES):
        raise PageError(f"markers of each of these tables are due, once: {', '.join(TABLES)}")
    return BLOCK.sub(lambda block: _block(block["name"], outlook), page)


def differing(page: str, outlook: Outlook) -> list[str]:
    """The names of the tables that are not what the results give; raises `PageError`."""
    due = written(page, outlook)
    blocks = zip(BLOCK.finditer(page), BLOCK.finditer(due), strict=True)
    return [before["name"] for before, after in blocks if before["table"] != after["table"]]


def _block(name: str, outlook: Outlook) -> str:
    return f"<!-- table: {name} -->\n{TABLES[name](outlook)}\n<!-- end: {name} -->"
