"""The file of the settings last accepted: truncated, of another version, too large, on a full disk."""

import json
import os
import zlib
from pathlib import Path

import pytest
from structlog.testing import capture_logs

from irisstack.dynamic_settings import snapshot
from irisstack.dynamic_settings.limits import MAX_DOCUMENT_BYTES
from irisstack.dynamic_settings.snapshot import SavedSettings, SavedSettingsFile
from irisstack.node.store import Store

SAVED = SavedSettings(
    cluster_id=14841639068965178418,
    revision=57,
    items={"lanes/fast": {"name": "fast", "slo": 0.25}, "balancers": 840, "report/names": ["ä", "\ud800"]},
    retired={"lanes/slow": {"name": "slow"}},
)


def events_logged_on_load(state_directory: Path) -> list[str]:
    with capture_logs() as logs:
        assert SavedSettingsFile(state_directory).load() is None
    return [entry["event"] for entry in logs]


def test_saved_settings_are_loaded(tmp_path: Path) -> None:
    assert SavedSettingsFile(tmp_path).save(SAVED)
    assert SavedSettingsFile(tmp_path).load() == SAVED


def test_a_missing_file_logs_nothing(tmp_path: Path) -> None:
    assert events_logged_on_load(tmp_path) == []


def test_the_file_is_json_with_version_and_checksum(tmp_path: Path) -> None:
    SavedSettingsFile(tmp_path).save(SAVED)
    raw = json.loads((tmp_path / "settings.json").read_bytes())
    assert raw["version"] == 1
    assert isinstance(raw["crc32"], int)
    assert raw["settings"]["revision"] == 57


def test_a_file_truncated_anywhere_is_logged_once_and_not_used(tmp_path: Path) -> None:
    SavedSettingsFile(tmp_path).save(SAVED)
    path = tmp_path / "settings.json"
    content = path.read_bytes()
    for size in range(len(content) - 1):  # without the last byte, a newline, the file is still valid
        path.write_bytes(content[:size])
        assert events_logged_on_load(tmp_path) == ["settings_file_unread"], size


def test_a_file_with_one_digit_changed_is_logged_once_and_not_used(tmp_path: Path) -> None:
    SavedSettingsFile(tmp_path).save(SAVED)
    path = tmp_path / "settings.json"
    path.write_bytes(path.read_bytes().replace(b"840", b"841"))
    assert events_logged_on_load(tmp_path) == ["settings_file_unread"]


BAD_FILES = {
    "another version": b'{"version": 2, "crc32": 0, "settings": {}}',
    "a version of another type": b'{"version": [1], "crc32": 0, "settings": {}}',
    "empty": b"",
    "not an object": b"[]",
    "settings not an object": b'{"version": 1, "crc32": 0, "settings": 1}',
    "no settings": b'{"version": 1}',
    "nested too deeply": b"[" * 100_000,
    "too large": b" " * (snapshot.MAX_FILE_BYTES + 1),
    "not UTF-8": b'{"version": 1, "x": "\xff\xfe"}',
}


@pytest.mark.parametrize("data", BAD_FILES.values(), ids=BAD_FILES)
def test_an_invalid_file_is_logged_once_and_not_used(tmp_path: Path, data: bytes) -> None:
    (tmp_path / "settings.json").write_bytes(data)
    assert events_logged_on_load(tmp_path) == ["settings_file_unread"]


@pytest.mark.parametrize(
    "settings",
    [
        {"cluster_id": "1", "revision": 1, "items": {}, "retired": {}},
        {"cluster_id": 1, "revision": True, "items": {}, "retired": {}},
        {"cluster_id": 1, "revision": 1, "items": [], "retired": {}},
        {"cluster_id": 1, "revision": 1, "items": {}},
        {"cluster_id": 1, "revision": 1, "items": {}, "retired": {}, "more": 1},
    ],
)
def test_settings_with_a_valid_checksum_and_wrong_fields_are_not_used(
    tmp_path: Path, settings: object
) -> None:
    text = json.dumps(settings, sort_keys=True, separators=(",", ":"))
    data = {"version": 1, "crc32": zlib.crc32(text.encode()), "settings": settings}
    (tmp_path / "settings.json").write_text(json.dumps(data))
    assert events_logged_on_load(tmp_path) == ["settings_file_unread"]


def test_a_directory_in_place_of_the_file_is_logged_once(tmp_path: Path) -> None:
    (tmp_path / "settings.json").mkdir()
    assert events_logged_on_load(tmp_path) == ["settings_file_unread"]


def test_an_error_is_logged_once_however_often_the_file_is_loaded(tmp_path: Path) -> None:
    (tmp_path / "settings.json").write_bytes(b"{")
    file = SavedSettingsFile(tmp_path)
    with capture_logs() as logs:
        assert file.load() is None
        assert file.load() is None
    assert len(logs) == 1


def test_a_full_disk_keeps_the_old_file(tmp_path: Path) -> None:
    SavedSettingsFile(tmp_path).save(SAVED)
    os.symlink("/dev/full", tmp_path / "settings.json.new")
    with capture_logs() as logs:
        assert not SavedSettingsFile(tmp_path).save(SavedSettings(1, 58, {}, {}))
    assert [(entry["event"], entry["log_level"]) for entry in logs] == [("settings_not_saved", "error")]
    assert SavedSettingsFile(tmp_path).load() == SAVED
    assert not (tmp_path / "settings.json.new").is_symlink()


def test_a_missing_state_directory_is_logged_once(tmp_path: Path) -> None:
    with capture_logs() as logs:
        assert not SavedSettingsFile(tmp_path / "gone").save(SAVED)
    assert [entry["event"] for entry in logs] == ["settings_not_saved"]


def test_the_remains_of_an_interrupted_write_are_not_read(tmp_path: Path) -> None:
    SavedSettingsFile(tmp_path).save(SAVED)
    (tmp_path / "settings.json.new").write_bytes(b'{"version": 1, "cr')
    assert SavedSettingsFile(tmp_path).load() == SAVED
    assert SavedSettingsFile(tmp_path).save(SAVED)


def test_the_largest_document_fits_and_a_larger_file_is_not_written(tmp_path: Path) -> None:
    file = SavedSettingsFile(tmp_path)
    largest = SavedSettings(1, 2, {"a": "x" * MAX_DOCUMENT_BYTES}, {})
    assert file.save(largest)
    assert (tmp_path / "settings.json").stat().st_size < snapshot.MAX_FILE_BYTES
    with capture_logs() as logs:
        assert not file.save(SavedSettings(1, 3, {"a": "x" * snapshot.MAX_FILE_BYTES}, {}))
    assert [entry["event"] for entry in logs] == ["settings_not_saved"]
    assert SavedSettingsFile(tmp_path).load() == largest


def test_the_message_store_does_not_touch_the_file(tmp_path: Path) -> None:
    SavedSettingsFile(tmp_path).save(SAVED)
    store = Store(tmp_path, 3_000_000, 1000.0)
    store.close()
    assert SavedSettingsFile(tmp_path).load() == SAVED
