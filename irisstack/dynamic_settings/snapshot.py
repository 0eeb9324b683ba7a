"""The settings last accepted, kept in the lasting folder so that a restart needs no cluster.

One JSON file, `settings.json`: a version, a checksum and the settings. It is written to another name and then
renamed, so that a process that ends midway leaves the old one. Nothing is synced: the folder outlives the
process, not the machine, and a file that a crash of the machine has torn is found by its checksum.

A file is `MAX_FILE_BYTES` at most, and while one is written there are two: `DISK_RESERVE_BYTES` of the room
that `disk_mb` grants the folder are to be left to them. It is written with each accepted revision and never
else.
"""

import json
import os
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import structlog

FILE_NAME = "settings.json"
NEW_FILE_NAME = "settings.json.new"
FORMAT_VERSION = 1
MAX_FILE_BYTES = 384 * 1024
"""A document of 128 KiB, as much again for what it has retired, and room for the file's own marks."""
DISK_RESERVE_BYTES = 2 * MAX_FILE_BYTES
"""What the file and the one about to take its place need of the folder's room."""

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class SavedSettings:
    """A document that was in force, and where in the stream of changes it stood."""

    cluster_id: int
    revision: int
    items: Mapping[str, Any]
    """The values by their path below the prefix."""
    retired: Mapping[str, Any] = field(default_factory=dict)
    """What the settings no longer name but messages may still be owed under."""


class InvalidFileError(Exception):
    """The file holds no settings; the text says why."""


class SavedSettingsFile:
    """The file in one folder. No trouble with it ever ends the node: it is one line of the log."""

    def __init__(self, state_directory: Path) -> None:
        self._path = state_directory / FILE_NAME
        self._new_path = state_directory / NEW_FILE_NAME
        self._loaded = False
        self._saved: SavedSettings | None = None

    def load(self) -> SavedSettings | None:
        """What an earlier life saved; `None` if there is nothing, or nothing that can be used.

        The file is read once, however often it is asked for.
        """
        if not self._loaded:
            self._loaded = True
            self._saved = self._load()
        return self._saved

    def _load(self) -> SavedSettings | None:
        try:
            return _decode(self._read())
        except FileNotFoundError:
            return None
        except OSError as error:
            log.warning("settings_file_unread", path=str(self._path), error=str(error.strerror))
        except InvalidFileError as error:
            log.warning("settings_file_unread", path=str(self._path), error=str(error))
        return None

    def save(self, settings: SavedSettings) -> bool:
        """Replace the file; returns whether that went well. If it did not, the old file stays."""
        try:
            data = _encode(settings)
            self._write(data)
        except OSError as error:
            log.error("settings_not_saved", revision=settings.revision, error=str(error.strerror))
        except InvalidFileError as error:
            log.error("settings_not_saved", revision=settings.revision, error=str(error))
        else:
            return True
        return False

    def _read(self) -> bytes:
        with self._path.open("rb") as file:
            return file.read(MAX_FILE_BYTES + 1)

    def _write(self, data: bytes) -> None:
        try:
            self._new_path.write_bytes(data)
            os.replace(self._new_path, self._path)
        except OSError:
            self._new_path.unlink(missing_ok=True)
            raise


def _encode(settings: SavedSettings) -> bytes:
    # Not `asdict`: it copies each value of the document, which takes longer than all the rest.
    body = _canonical_json({entry.name: getattr(settings, entry.name) for entry in fields(settings)})
    header = {"version": FORMAT_VERSION, "crc32": zlib.crc32(body)}
    data = _canonical_json(header)[:-1] + b',"settings":' + body + b"}\n"
    if len(data) > MAX_FILE_BYTES:
        raise InvalidFileError(f"{MAX_FILE_BYTES} bytes at most are due, not {len(data)}")
    return data


def _decode(data: bytes) -> SavedSettings:
    if len(data) > MAX_FILE_BYTES:
        raise InvalidFileError(f"{MAX_FILE_BYTES} bytes at most are due")
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        raise InvalidFileError("no JSON, perhaps torn") from None
    if not isinstance(raw, dict):
        raise InvalidFileError("an object is due")
    if raw.get("version") != FORMAT_VERSION:
        raise InvalidFileError(f"version {FORMAT_VERSION} is due, not {str(raw.get('version'))[:20]!r}")
    settings = raw.get("settings")
    if not isinstance(settings, dict) or raw.get("crc32") != zlib.crc32(_canonical_json(settings)):
        raise InvalidFileError("the checksum does not fit")
    try:
        return _validated_settings(**settings)
    except TypeError:
        raise InvalidFileError("cluster_id, revision, items and retired are due") from None


def _validated_settings(
    cluster_id: int, revision: int, items: dict[str, Any], retired: dict[str, Any]
) -> SavedSettings:
    """Raises `TypeError` for what has the wrong type."""
    if type(cluster_id) is not int or type(revision) is not int:
        raise TypeError("whole numbers are due")
    if not isinstance(items, dict) or not isinstance(retired, dict):
        raise TypeError("objects are due")
    return SavedSettings(cluster_id, revision, items, retired)


def _canonical_json(value: object) -> bytes:
    """The canonical JSON text, which the checksum covers; raises `InvalidFileError` for other values."""
    try:
        text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False)
    except (TypeError, ValueError, RecursionError) as error:
        raise InvalidFileError(f"no JSON: {error}") from None
    return text.encode("utf-8", "surrogatepass")
