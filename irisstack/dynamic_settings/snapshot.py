"""Saves the settings last accepted in the state directory, so that a restart does not need the cluster.

One JSON file, `settings.json`, holds a version, a checksum and the settings. It is written under another name
and then renamed, so that a process that ends midway leaves the old file. Nothing is synced: the state
directory is meant to survive the process, not the machine, and the checksum reveals a file that a crash of
the machine has truncated.

A file has at most `MAX_FILE_BYTES`, and there are two while one is being written: `DISK_RESERVE_BYTES` of the
state directory's `disk_mb` are reserved for them. The file is written only when a revision is accepted.
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
"""Largest file: a document of 128 KiB, 128 KiB of retired definitions and the file's own overhead."""
DISK_RESERVE_BYTES = 2 * MAX_FILE_BYTES
"""Space to reserve in the state directory for the file and its replacement."""

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class SavedSettings:
    """A document that was in force, with its cluster and revision."""

    cluster_id: int
    revision: int
    items: Mapping[str, Any]
    """Values by path below the prefix."""
    retired: Mapping[str, Any] = field(default_factory=dict)
    """Removed definitions, by path, that pending messages may still need."""


class InvalidFileError(Exception):
    """The file or the settings to be written are invalid; the text says why."""


class SavedSettingsFile:
    """The file in one state directory. An error is logged in one line and never ends the node."""

    def __init__(self, state_directory: Path) -> None:
        self._path = state_directory / FILE_NAME
        self._new_path = state_directory / NEW_FILE_NAME
        self._loaded = False
        self._saved: SavedSettings | None = None

    def load(self) -> SavedSettings | None:
        """The settings that the previous process saved; `None` if there are none that can be used.

        The file is read only on the first call.
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
        """Replace the file; returns whether it succeeded. After an error the old file stays."""
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
    # `asdict` would copy every value of the document, which takes longer than everything else here.
    body = _canonical_json(
        {attribute.name: getattr(settings, attribute.name) for attribute in fields(settings)}
    )
    header = {"version": FORMAT_VERSION, "crc32": zlib.crc32(body)}
    data = _canonical_json(header)[:-1] + b',"settings":' + body + b"}\n"
    if len(data) > MAX_FILE_BYTES:
        raise InvalidFileError(f"expected at most {MAX_FILE_BYTES} bytes, got {len(data)}")
    return data


def _decode(data: bytes) -> SavedSettings:
    if len(data) > MAX_FILE_BYTES:
        raise InvalidFileError(f"expected at most {MAX_FILE_BYTES} bytes")
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        raise InvalidFileError("expected JSON; the file may be truncated") from None
    if not isinstance(raw, dict):
        raise InvalidFileError("expected an object")
    if raw.get("version") != FORMAT_VERSION:
        raise InvalidFileError(f"expected version {FORMAT_VERSION}, got {str(raw.get('version'))[:20]!r}")
    settings = raw.get("settings")
    if not isinstance(settings, dict) or raw.get("crc32") != zlib.crc32(_canonical_json(settings)):
        raise InvalidFileError("checksum mismatch")
    try:
        return _validated_settings(**settings)
    except TypeError:
        raise InvalidFileError("settings: expected cluster_id, revision, items and retired") from None


def _validated_settings(
    cluster_id: int, revision: int, items: dict[str, Any], retired: dict[str, Any]
) -> SavedSettings:
    """The settings from their fields; raises `TypeError` for a value of the wrong type."""
    if type(cluster_id) is not int or type(revision) is not int:
        raise TypeError("expected integers")
    if not isinstance(items, dict) or not isinstance(retired, dict):
        raise TypeError("expected objects")
    return SavedSettings(cluster_id, revision, items, retired)


def _canonical_json(value: object) -> bytes:
    """The canonical JSON text, which the checksum covers; raises `InvalidFileError` for other values."""
    try:
        text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False)
    except (TypeError, ValueError, RecursionError) as error:
        raise InvalidFileError(f"expected a JSON value: {error}") from None
    return text.encode("utf-8", "surrogatepass")
