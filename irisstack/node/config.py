"""The single place where a node's configuration is read, validated and given defaults."""

import json
import os
import socket
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from irisstack.interface import Address, Settings
from irisstack.settings import Reader, SettingsError, read

HostPort = tuple[str, int]

DEFAULT_SOCKETS = 1024
DEFAULT_DISK_MB = 64.0
DEFAULT_MEMORY_MB = 192.0
BYTES_PER_MB = 1_000_000
MIN_DISK_BYTES_WITH_DYNAMIC_SETTINGS = 2_000_000
"""Larger than without, since the saved settings take a part of the state directory."""
DEFAULT_SETTINGS_BYTES_PER_S = 11_000
MIN_SETTINGS_BYTES_PER_S = 1024
"""At a lower rate, reading a whole settings document would take minutes."""


class ConfigError(Exception):
    """The configuration cannot be used; the message begins with the key or variable at fault."""


@dataclass(slots=True, frozen=True)
class DynamicSettings:
    """The source of settings that change while the node runs."""

    members: tuple[HostPort, ...]
    """Client addresses of the etcd cluster."""
    prefix: str
    """The prefix of the settings' keys; ends with `/`."""
    bytes_per_s: int
    """Limit of the network traffic for following the settings."""
    base: Mapping[str, Any]
    """The settings object of the node's own file, which the published settings override."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of a node."""

    name: str
    listen: HostPort
    discovery: HostPort
    state: Path
    seed: int
    sockets: int
    disk_bytes: int
    memory_bytes: int
    """Limit of the resident memory, above which the platform ends the process."""
    known: Mapping[str, Any]
    settings: Settings
    peers: tuple[HostPort, ...] = ()
    """The other nodes to exchange gossip with."""
    trial: Settings | None = None
    """Settings to evaluate in shadow mode, beside those in force."""
    dynamic_settings: DynamicSettings | None = None
    """`None` if settings change only with a restart."""


def parse_host_port(text: str, key: str) -> HostPort:
    """Split `host:port`; the host must be an IP address, since names are not resolved."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{key}: expected host:port, got {text!r}")
    return host, int(port)


def format_host_port(address: HostPort) -> str:
    """`host:port`, as used in headers and log lines."""
    host, port = address
    return f"{host}:{port}"


def to_host_port(address: Address) -> HostPort:
    """Convert an endpoint's packed address to a host and port to connect to."""
    host, port = address
    return socket.inet_ntoa(host), port


def file_format(path: Path) -> str:
    """The format of a configuration file: people write TOML, the platform writes JSON."""
    return "TOML" if path.suffix == ".toml" else "JSON"


def parse_file(path: Path) -> Any:
    """Parse a file; raises `OSError` or `ValueError`."""
    data = path.read_bytes()
    if file_format(path) == "JSON":
        return json.loads(data)
    import tomllib  # not at the top: a node with a JSON file need not load it

    return tomllib.loads(data.decode())


def load(environment: Mapping[str, str] = os.environ, *, reload: bool = False) -> Config:
    """Load the file that `RELAY_CONFIG` names; the other environment variables override it.

    When a running node reloads the file, the file overrides `RELAY_DISCOVERY`: the environment of a process
    is fixed at its start, so only the file can name a new address.
    """
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG: expected the path of the configuration file, got none")
    try:
        raw = Reader(parse_file(Path(path)))
        limits = raw.section("limits")
        known = {} if raw.value("known") is None else raw.value("known")
        peers = tuple(parse_host_port(peer, f"peers[{i}]") for i, peer in enumerate(raw.texts("peers")))
        settings = disable_gossip_without_peers(read(raw.section("settings")), peers)
        Reader(known, raw.path("known"))

        def env_or_file(variable: str, key: str, default: str | None = None) -> str:
            return environment.get(variable) or raw.text(key, default)

        config = Config(
            name=env_or_file("RELAY_NAME", "name", "node"),
            listen=parse_host_port(env_or_file("RELAY_LISTEN", "listen"), "listen"),
            discovery=parse_host_port(
                raw.text("discovery")
                if reload and raw.value("discovery") is not None
                else env_or_file("RELAY_DISCOVERY", "discovery"),
                "discovery",
            ),
            state=Path(env_or_file("RELAY_STATE", "state")),
            seed=_parse_seed(raw.text("seed", "0")),
            sockets=limits.integer("sockets", DEFAULT_SOCKETS),
            disk_bytes=int(limits.number("disk_mb", DEFAULT_DISK_MB) * BYTES_PER_MB),
            memory_bytes=int(limits.number("memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB),
            known=known,
            settings=settings,
            peers=peers,
            trial=_read_trial(raw, settings),
            dynamic_settings=_read_dynamic_settings(raw),
        )
    except OSError as error:
        raise ConfigError(f"RELAY_CONFIG: {path} cannot be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"RELAY_CONFIG: {path} is not valid {file_format(Path(path))}: {error}") from None
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    _validate(config)
    return config


def disable_gossip_without_peers(settings: Settings, peers: tuple[HostPort, ...]) -> Settings:
    """Switch gossip off if no peers are configured, since it would reach nobody."""
    return settings if peers else replace(settings, may_gossip=False)


def _read_trial(raw: Reader, settings: Settings) -> Settings | None:
    """The settings with the overrides under `watch` merged in; lists are replaced as a whole."""
    if raw.value("watch") is None:
        return None
    overrides = raw.value("watch")
    Reader(overrides, raw.path("watch"))
    trial = read(Reader(_merge(raw.value("settings"), overrides), raw.path("watch")))
    if [message_class.name for message_class in trial.classes] != [
        message_class.name for message_class in settings.classes
    ]:
        raise SettingsError("watch.lanes: expected the classes of settings.lanes in the same order")
    return trial


def _read_dynamic_settings(raw: Reader) -> DynamicSettings | None:
    if raw.value("dynamic_settings") is None:
        return None
    if raw.value("watch") is not None:
        raise SettingsError(
            "watch: not allowed together with dynamic_settings, since shadow settings need fixed settings"
        )
    section = raw.section("dynamic_settings")
    members = tuple(
        parse_host_port(member, f"{section.path('members')}[{i}]")
        for i, member in enumerate(section.texts("members"))
    )
    if not members:
        raise SettingsError(f"{section.path('members')}: expected at least one host:port, got none")
    prefix = section.text("prefix")
    if not prefix.endswith("/"):
        raise SettingsError(f"{section.path('prefix')}: expected a prefix that ends with '/', got {prefix!r}")
    bytes_per_s = section.integer("bytes_per_s", DEFAULT_SETTINGS_BYTES_PER_S)
    if bytes_per_s < MIN_SETTINGS_BYTES_PER_S:
        raise SettingsError(
            f"{section.path('bytes_per_s')}: expected at least {MIN_SETTINGS_BYTES_PER_S}, got {bytes_per_s}"
        )
    return DynamicSettings(members, prefix, bytes_per_s, raw.value("settings"))


def _merge(base_value: Any, override: Any) -> Any:
    if not isinstance(base_value, Mapping) or not isinstance(override, Mapping):
        return override
    return {**base_value, **{key: _merge(base_value.get(key), value) for key, value in override.items()}}


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: expected a hexadecimal number, got {text!r}") from None


def _validate(config: Config) -> None:
    if not config.state.is_dir() or not os.access(config.state, os.W_OK | os.X_OK):
        raise ConfigError(f"RELAY_STATE: {config.state} is not a writable directory")
    if config.sockets < 64:
        raise ConfigError(f"limits.sockets: expected at least 64, got {config.sockets}")
    if config.disk_bytes < 1_000_000:
        raise ConfigError(f"limits.disk_mb: expected at least 1, got {config.disk_bytes / 1_000_000}")
    if config.memory_bytes <= 0:
        raise ConfigError(
            f"limits.memory_mb: expected more than 0, got {config.memory_bytes / BYTES_PER_MB:g}"
        )
    if config.dynamic_settings is not None and config.disk_bytes < MIN_DISK_BYTES_WITH_DYNAMIC_SETTINGS:
        raise ConfigError(
            f"limits.disk_mb: expected at least 2 with dynamic_settings, got {config.disk_bytes / 1_000_000}"
        )
    if not config.settings.kinds:
        raise ConfigError("settings.shapes: expected at least one kind, got none")
    if config.settings.max_calls < 1:
        raise ConfigError(f"settings.extra.maxCalls: expected at least 1, got {config.settings.max_calls}")
