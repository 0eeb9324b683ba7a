"""A fault rig: a preloaded library steps the wall clock and fails system calls of one process.

The process is started with the variables of `Rig.environment`. From then on the rig's methods change the
faults at once, through a memory-mapped control file. The library is built from `preload.c` with the system's
C compiler. It intercepts calls that go through the C library, so the program has to be linked dynamically
against it.
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
"""Byte offset, within a rule, of the number of calls hit so far."""

KILL = -1
"""In place of an errno: kills the process at that call; a write first writes the bytes its limit allows."""
ALL_CALLS = -1
"""As the count of a rule: every matching call is hit."""


class RigUnavailable(RuntimeError):
    """The library cannot be built on this machine."""


class SystemCall(IntEnum):
    """Groups of system calls that a rule can hit."""

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
    """What the file descriptor of a call refers to."""

    ANY = 0
    CLIENT = 1
    PEER = 2
    FILE = 3
    """A regular file; this includes the log output if it goes to a file."""
    FOLDER = 4
    """A file in the directory that the rig was created with."""


@dataclass(slots=True, frozen=True)
class Rule:
    """Which calls fail, and how.

    `error` is the errno, or `KILL`; with 0, a transfer succeeds but moves at most `limit` bytes
    (-1: no limit). The first `after` matching calls pass, the next `count` are hit. Each takes `delay_ms`
    milliseconds longer, in which the process stands still.
    """

    call: SystemCall
    kind: DescriptorKind = DescriptorKind.ANY
    error: int = 0
    limit: int = -1
    after: int = 0
    count: int = ALL_CALLS
    delay_ms: int = 0


def build(directory: Path) -> Path:
    """Build the library in a directory; raises `RigUnavailable` if the C compiler is missing or fails."""
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
    """Controls the faults of one process and of its child processes."""

    def __init__(self, library: Path, control_file: Path, directory: Path) -> None:
        """Create the control file, or overwrite it; the process maps it into its memory.

        `directory` is the one whose files are of the kind `FOLDER`, by the path that the process opens.
        """
        self._library = library
        self._directory = directory
        self._control_path = control_file
        control_file.write_bytes(bytes(_CONTROL_SIZE))
        with control_file.open("r+b") as file:
            self._control_memory = mmap.mmap(file.fileno(), _CONTROL_SIZE)

    @property
    def environment(self) -> dict[str, str]:
        """Environment variables to start the process with."""
        libraries = [str(self._library), os.environ.get("LD_PRELOAD", "")]
        return {
            "LD_PRELOAD": " ".join(filter(None, libraries)),
            "IRISSTACK_FAULTS": str(self._control_path),
            "IRISSTACK_FAULTS_FOLDER": str(self._directory),
        }

    def set_wall_clock(self, seconds: float) -> None:
        """Set how far the wall clock is ahead of the true one; a negative value sets it behind."""
        _WALL_OFFSET.pack_into(self._control_memory, 0, round(seconds * NANOSECONDS))

    def set_rules(self, *rules: Rule) -> None:
        """Replace all rules; no arguments remove them all.

        The first rule that matches a call, has let `after` calls pass and has `count` remaining applies.
        """
        if len(rules) > MAX_RULES:
            raise ValueError(f"expected at most {MAX_RULES} rules, got {len(rules)}")
        for index in range(MAX_RULES):
            self._write_rule(index, None)
        for index, rule in enumerate(rules):
            self._write_rule(index, rule)

    def hits(self, index: int = 0) -> int:
        """Number of calls that the rule at this position has hit."""
        offset = _WALL_OFFSET.size + index * _RULE_STRUCT.size + _HITS_OFFSET
        return int.from_bytes(self._control_memory[offset : offset + 4], "little", signed=True)

    def close(self) -> None:
        """Unmap the control file; the last rules and clock offset stay in force in the process."""
        self._control_memory.close()

    def _write_rule(self, index: int, rule: Rule | None) -> None:
        values = (0,) * 8
        if rule is not None:
            values = (rule.call, rule.kind, rule.error, rule.limit, rule.after, rule.count, 0, rule.delay_ms)
        offset = _WALL_OFFSET.size + index * _RULE_STRUCT.size
        _RULE_STRUCT.pack_into(self._control_memory, offset, 0, *values[1:])
        _CALL_STRUCT.pack_into(
            self._control_memory, offset, values[0]
        )  # written last: it puts the rule in force
