"""A fault rig: a preloaded library makes one process see a stepped wall clock and system calls that fail.

`Rig.environment` is what the process is started with; from then on the rig's methods change what it sees, at
once and while it runs. The library is built from `preload.c` with the system's C compiler. It reaches calls
that go through the C library, so the program has to be linked dynamically against it.
"""

import mmap
import os
import shutil
import struct
import subprocess
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

LIBRARY_SOURCE = Path(__file__).with_name("preload.c")
NANOSECONDS = 1_000_000_000
MAX_RULES = 16
_WALL_OFFSET = struct.Struct("=q")
_RULE_STRUCT = struct.Struct("=8i")
_CALL_STRUCT = struct.Struct("=i")
_CONTROL_SIZE = _WALL_OFFSET.size + MAX_RULES * _RULE_STRUCT.size
_HITS_OFFSET = 6 * 4
"""Where in a rule the number of calls hit so far stands."""

KILL = -1
"""In place of an errno: the process is killed at that call, a write after the bytes that its limit allows."""
ALL_CALLS = -1


class RigUnavailable(RuntimeError):
    """The library cannot be built here."""


class SystemCall(IntEnum):
    """The calls that a rule can hit."""

    ACCEPT = 1
    SOCKET = 2
    CONNECT = 3
    SEND = 4
    RECEIVE = 5
    WRITE = 6
    SYNC = 7
    OPEN = 8
    WAIT = 9
    READ = 10


class DescriptorKind(IntEnum):
    """What the descriptor of a call is."""

    ANY = 0
    CLIENT = 1
    PEER = 2
    FILE = 3
    """A regular file, the log among them where it is one."""
    FOLDER = 4
    """A file in the folder that the rig was told of."""


@dataclass(slots=True, frozen=True)
class Rule:
    """Which calls fail, and how.

    `error` is the errno, or `KILL`; with 0 a transfer only takes `limit` bytes at most. `after` calls that
    the rule fits pass first, then `count` are hit.
    """

    call: SystemCall
    kind: DescriptorKind = DescriptorKind.ANY
    error: int = 0
    limit: int = -1
    after: int = 0
    count: int = ALL_CALLS


def build(directory: Path) -> Path:
    """Build the library in a folder; raises `RigUnavailable` without a C compiler, or if it fails."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise RigUnavailable("no C compiler (cc) was found")
    library = directory / "preload.so"
    command = [compiler, "-shared", "-fPIC", "-O1", "-o", str(library), str(LIBRARY_SOURCE), "-ldl"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    if completed.returncode:
        raise RigUnavailable(f"{compiler} failed: {completed.stderr.strip()[:500]}")
    return library


class Rig:
    """What one process, and those that it starts, see of their machine."""

    def __init__(self, library: Path, control_file: Path, directory: Path) -> None:
        """`control` is the file through which the process is led; it is made anew.

        `folder` is the one whose files are of the kind `FOLDER`, by the path that the process opens.
        """
        self._library = library
        self._directory = directory
        self._control_path = control_file
        control_file.write_bytes(bytes(_CONTROL_SIZE))
        with control_file.open("r+b") as file:
            self._control_memory = mmap.mmap(file.fileno(), _CONTROL_SIZE)

    @property
    def environment(self) -> dict[str, str]:
        """Variables for the process to be started with."""
        libraries = [str(self._library), os.environ.get("LD_PRELOAD", "")]
        return {
            "LD_PRELOAD": " ".join(filter(None, libraries)),
            "IRISSTACK_FAULTS": str(self._control_path),
            "IRISSTACK_FAULTS_FOLDER": str(self._directory),
        }

    def set_wall_clock(self, seconds: float) -> None:
        """Let the wall clock be so far ahead of the true one; below zero it is behind."""
        _WALL_OFFSET.pack_into(self._control_memory, 0, round(seconds * NANOSECONDS))

    def set_rules(self, *rules: Rule) -> None:
        """Have these rules in force, in place of those before; the first that fits a call counts."""
        if len(rules) > MAX_RULES:
            raise ValueError(f"{MAX_RULES} rules at most, not {len(rules)}")
        for index in range(MAX_RULES):
            self._write_rule(index, None)
        for index, rule in enumerate(rules):
            self._write_rule(index, rule)

    def hits(self, index: int = 0) -> int:
        """How many calls the rule at this position has hit."""
        offset = _WALL_OFFSET.size + index * _RULE_STRUCT.size + _HITS_OFFSET
        return int.from_bytes(self._control_memory[offset : offset + 4], "little", signed=True)

    def close(self) -> None:
        """Let go of the control file; the process keeps what it was last told."""
        self._control_memory.close()

    def _write_rule(self, index: int, rule: Rule | None) -> None:
        values = (0,) * 8
        if rule is not None:
            values = (rule.call, rule.kind, rule.error, rule.limit, rule.after, rule.count, 0, 0)
        offset = _WALL_OFFSET.size + index * _RULE_STRUCT.size
        _RULE_STRUCT.pack_into(self._control_memory, offset, 0, *values[1:])
        _CALL_STRUCT.pack_into(
            self._control_memory, offset, values[0]
        )  # last: from here on the rule is in force
