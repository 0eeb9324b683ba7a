"""Settings that change while the node runs: what is in force, and whether what is proposed may follow it.

Loaded only where the configuration names `dynamic_settings`. A document is checked here as a whole; the
service and the decider put it in force in all parts of the node.
"""

from collections.abc import Collection, Iterator, Mapping
from contextlib import contextmanager
from typing import Any

import structlog

from irisstack.dynamic_settings.accepted import AcceptedSettings
from irisstack.dynamic_settings.document import KINDS, LANES, check_size, compose
from irisstack.dynamic_settings.merge import check_no_restart_needed, merge, retired_definitions
from irisstack.dynamic_settings.values import check_values
from irisstack.interface import Settings
from irisstack.node.config import HostPort, disable_gossip_without_peers
from irisstack.settings import Reader, SettingsError, read

log = structlog.get_logger()


class LiveSettings:
    """The settings in force beside the node's own file, which the stream's items are laid over."""

    def __init__(self, base: Mapping[str, Any], peers: tuple[HostPort, ...], max_calls_limit: int) -> None:
        """`most_calls` is what the limits leave descriptors for; raises `SettingsError` for a bad file."""
        self._base = base
        self._peers = peers
        own = disable_gossip_without_peers(read(Reader(base)), peers)
        # What the file itself asks for is the operators' own choice, as without these settings.
        self._most_calls = max(own.max_calls, max_calls_limit)
        self._own = self._read(base)
        self.in_force = _accepted(self._own, self._own, {})

    def restore(
        self, items: Mapping[str, Any], retired: Mapping[str, Any], pending_classes: Collection[str]
    ) -> None:
        """At the start: put in force what an earlier life saved, with what messages are owed under.

        `owed` names the classes of the messages that are owed. What else had gone is dropped. Items that no
        longer fit the node's file are left; what messages are owed under is still kept.
        """
        try:
            self.in_force = self._restored(items, retired, pending_classes)
        except SettingsError as error:
            log.error("saved_settings_refused", error=str(error))
            lanes = {path: value for path, value in items.items() if path.startswith(f"{LANES}/")}
            self.in_force = self._restored({}, self._usable({**lanes, **retired}), pending_classes)

    def check(self, items: Mapping[str, Any]) -> AcceptedSettings:
        """What the node would run by under these items; raises `SettingsError` if it cannot."""
        with _only_settings_errors():
            proposed = self._read(compose(self._base, items))
            merged = merge(self.in_force.settings, proposed)
            gone = retired_definitions(merged, proposed)
            check_size(gone, "what went")  # it has to be saved; a restart drops what nothing needs
            return _accepted(merged, proposed, gone)

    def check_without_raising(self, items: Mapping[str, Any]) -> AcceptedSettings | SettingsError:
        """As `check`, with the error as a value: gevent logs one that leaves a thread as a fault."""
        try:
            return self.check(items)
        except SettingsError as error:
            return error

    def _read(self, document: Mapping[str, Any]) -> Settings:
        settings = disable_gossip_without_peers(read(Reader(document)), self._peers)
        check_values(settings)
        if settings.max_calls > self._most_calls:
            raise SettingsError(
                f"extra.maxCalls: limits.sockets allows {self._most_calls} at most, not {settings.max_calls}"
            )
        return settings

    def _restored(
        self, items: Mapping[str, Any], retired: Mapping[str, Any], owed: Collection[str]
    ) -> AcceptedSettings:
        with _only_settings_errors():
            proposed = self._read(compose(self._base, items))
            check_no_restart_needed(self._own, proposed)
            needed = {path: value for path, value in retired.items() if _is_needed(path, owed)}
            settings = self._read(compose(self._base, items, needed))
            return _accepted(settings, proposed, retired_definitions(settings, proposed))

    def _usable(self, definitions: Mapping[str, Any]) -> dict[str, Any]:
        """Those that may stand beside the node's own file."""
        usable = {}
        for path, value in definitions.items():
            try:
                with _only_settings_errors():
                    self._read(compose(self._base, {}, {path: value}))
            except SettingsError as error:
                log.error("saved_definition_refused", error=str(error))
            else:
                usable[path] = value
        return usable


@contextmanager
def _only_settings_errors() -> Iterator[None]:
    """Whatever is wrong with a document, it ends no node."""
    try:
        yield
    except SettingsError:
        raise
    except Exception as error:
        raise SettingsError(f"the document: {error!r}") from error


def _accepted(settings: Settings, offered: Settings, retired: Mapping[str, Any]) -> AcceptedSettings:
    return AcceptedSettings(
        settings,
        frozenset(kind.name for kind in offered.classes),
        frozenset(tenant.name for tenant in offered.tenants),
        retired,
    )


def _is_needed(path: str, owed: Collection[str]) -> bool:
    """Whether a definition that went is needed: a class by its messages, a kind by any that may go there."""
    group, _, name = path.partition("/")
    return name in owed if group == LANES else group == KINDS and bool(owed)
