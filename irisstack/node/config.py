"""The one place where configuration is read, checked and given defaults."""

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
MIN_DISK_BYTES_WITH_DYNAMIC_SETTINGS = 2_000_000
"""The file of the settings in force takes a part of the folder's room."""
DEFAULT_SETTINGS_BYTES_PER_S = 11_000
MIN_SETTINGS_BYTES_PER_S = 1024
"""Below this a whole settings document would take minutes."""


class ConfigError(Exception):
    """The configuration cannot be used; the text names the key at fault."""


@dataclass(slots=True, frozen=True)
class DynamicSettings:
    """Where settings come from that change while the node runs."""

    members: tuple[HostPort, ...]
    """Of the cluster that publishes them."""
    prefix: str
    """Of their keys."""
    bytes_per_s: int
    """The most that following them may take of the network."""
    base: Mapping[str, Any]
    """The settings object of the node's own file, over which they are laid."""


@dataclass(slots=True, frozen=True)
class Config:
    """All that a node is told at its start."""

    name: str
    listen: HostPort
    discovery: HostPort
    state: Path
    seed: int
    sockets: int
    disk_bytes: int
    known: Mapping[str, Any]
    settings: Settings
    peers: tuple[HostPort, ...] = ()
    """The other nodes that notes go to and come from."""
    trial: Settings | None = None
    """Settings to watch beside those in force."""
    dynamic_settings: DynamicSettings | None = None
    """None where settings wait for a restart."""


def parse_host_port(text: str, key: str) -> HostPort:
    """Split `host:port`; the host is an address, since nothing here looks names up."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{key}: host:port is due, not {text!r}")
    return host, int(port)


def format_host_port(address: HostPort) -> str:
    """`host:port`, as a header or a line of the log names it."""
    host, port = address
    return f"{host}:{port}"


def to_host_port(address: Address) -> HostPort:
    """An endpoint's address as one connects to it."""
    host, port = address
    return socket.inet_ntoa(host), port


def file_format(path: Path) -> str:
    """How a configuration file is written: people write TOML, the platform JSON."""
    return "TOML" if path.suffix == ".toml" else "JSON"


def parse_file(path: Path) -> Any:
    """What the file holds; raises `OSError` or `ValueError`."""
    data = path.read_bytes()
    if file_format(path) == "JSON":
        return json.loads(data)
    import tomllib  # only a file of this form pays for it

    return tomllib.loads(data.decode())


def load(environment: Mapping[str, str] = os.environ, *, reload: bool = False) -> Config:
    """The configuration from `RELAY_CONFIG` and the variables that stand above the file.

    Read anew by a running node, the file stands above `RELAY_DISCOVERY`: a process keeps the variables
    that it was started with, so only the file can tell it of another address.
    """
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG: the path of the configuration file is due")
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
            disk_bytes=int(limits.number("disk_mb", DEFAULT_DISK_MB) * 1_000_000),
            known=known,
            settings=settings,
            peers=peers,
            trial=_read_trial(raw, settings),
            dynamic_settings=_read_dynamic_settings(raw),
        )
    except OSError as error:
        raise ConfigError(f"RELAY_CONFIG: {path} cannot be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"RELAY_CONFIG: {path} holds no {file_format(Path(path))}: {error}") from None
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    _validate(config)
    return config


def disable_gossip_without_peers(settings: Settings, peers: tuple[HostPort, ...]) -> Settings:
    """Without the other nodes' places notes would reach nobody, so that nothing may count on them."""
    return settings if peers else replace(settings, may_gossip=False)


def _read_trial(raw: Reader, settings: Settings) -> Settings | None:
    """The settings in force with what stands under `watch` laid over them; lists are taken whole."""
    if raw.value("watch") is None:
        return None
    overrides = raw.value("watch")
    Reader(overrides, raw.path("watch"))
    trial = read(Reader(_merge(raw.value("settings"), overrides), raw.path("watch")))
    if [message_class.name for message_class in trial.classes] != [
        message_class.name for message_class in settings.classes
    ]:
        raise SettingsError("watch.lanes: the classes of settings.lanes are due, in their order")
    return trial


def _read_dynamic_settings(raw: Reader) -> DynamicSettings | None:
    if raw.value("dynamic_settings") is None:
        return None
    if raw.value("watch") is not None:
        raise SettingsError(
            "watch: not together with dynamic_settings: settings on trial need ones that stay"
        )
    section = raw.section("dynamic_settings")
    members = tuple(
        parse_host_port(member, f"{section.path('members')}[{i}]")
        for i, member in enumerate(section.texts("members"))
    )
    if not members:
        raise SettingsError(f"{section.path('members')}: at least one host:port is due")
    prefix = section.text("prefix")
    if not prefix.endswith("/"):
        raise SettingsError(f"{section.path('prefix')}: a prefix that ends with '/' is due, not {prefix!r}")
    bytes_per_s = section.integer("bytes_per_s", DEFAULT_SETTINGS_BYTES_PER_S)
    if bytes_per_s < MIN_SETTINGS_BYTES_PER_S:
        raise SettingsError(
            f"{section.path('bytes_per_s')}: {MIN_SETTINGS_BYTES_PER_S} at least are due, not {bytes_per_s}"
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
        raise ConfigError(f"seed: a hexadecimal number is due, not {text!r}") from None


def _validate(config: Config) -> None:
    if not config.state.is_dir() or not os.access(config.state, os.W_OK | os.X_OK):
        raise ConfigError(f"RELAY_STATE: {config.state} is no folder that can be written")
    if config.sockets < 64:
        raise ConfigError(f"limits.sockets: 64 at least are due, not {config.sockets}")
    if config.disk_bytes < 1_000_000:
        raise ConfigError("limits.disk_mb: 1 at least is due")
    if config.dynamic_settings is not None and config.disk_bytes < MIN_DISK_BYTES_WITH_DYNAMIC_SETTINGS:
        raise ConfigError("limits.disk_mb: 2 at least are due with dynamic_settings")
    if not config.settings.kinds:
        raise ConfigError("settings.shapes: at least one kind is due")
    if config.settings.max_calls < 1:
        raise ConfigError("settings.extra.maxCalls: 1 at least is due")
