"""Settings that change while the node runs: those in force, and the check of proposed ones.

Imported only if the configuration has `dynamic_settings`. A settings document is checked here as a whole; the
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
    """The settings in force, and the node's own file, which the items of the settings stream override."""

    def __init__(self, base: Mapping[str, Any], peers: tuple[HostPort, ...], max_calls_limit: int) -> None:
        """`max_calls_limit`: the calls that `limits.sockets` allows. Raises `SettingsError`."""
        self._base = base
        self._peers = peers
        file_settings = disable_gossip_without_peers(read(Reader(base)), peers)
        # A larger value in the file is the operators' choice, as it is without dynamic settings.
        self._max_calls_limit = max(file_settings.max_calls, max_calls_limit)
        self._file_settings = self._parse(base)
        self.in_force = _accepted_settings(self._file_settings, self._file_settings, {})

    def restore(
        self, items: Mapping[str, Any], retired: Mapping[str, Any], pending_classes: Collection[str]
    ) -> None:
        """At startup, put in force the items saved by the previous process.

        Of the removed definitions in `retired`, those that pending messages need are kept, the others are
        dropped; `pending_classes` names the classes of these messages. Items that no longer fit the node's
        file are not put in force, but what pending messages need is kept even then.
        """
        try:
            self.in_force = self._restored_settings(items, retired, pending_classes)
        except SettingsError as error:
            log.error("saved_settings_refused", error=str(error))
            lanes = {path: value for path, value in items.items() if path.startswith(f"{LANES}/")}
            self.in_force = self._restored_settings(
                {}, self._usable_definitions({**lanes, **retired}), pending_classes
            )

    def check(self, items: Mapping[str, Any]) -> AcceptedSettings:
        """The settings of the node under these items; raises `SettingsError` if they are invalid."""
        with _only_raising_settings_errors():
            proposed = self._parse(compose(self._base, items))
            merged = merge(self.in_force.settings, proposed)
            retired = retired_definitions(merged, proposed)
            check_size(retired, "removed definitions")  # they have to be saved; a restart drops unneeded ones
            return _accepted_settings(merged, proposed, retired)

    def check_without_raising(self, items: Mapping[str, Any]) -> AcceptedSettings | SettingsError:
        """Like `check`, but returns the error: gevent logs an exception raised in a thread as a fault."""
        try:
            return self.check(items)
        except SettingsError as error:
            return error

    def _parse(self, document: Mapping[str, Any]) -> Settings:
        settings = disable_gossip_without_peers(read(Reader(document)), self._peers)
        check_values(settings)
        if settings.max_calls > self._max_calls_limit:
            raise SettingsError(
                f"extra.maxCalls: expected at most {self._max_calls_limit}, as limits.sockets allows, "
                f"got {settings.max_calls}"
            )
        return settings

    def _restored_settings(
        self, items: Mapping[str, Any], retired: Mapping[str, Any], pending_classes: Collection[str]
    ) -> AcceptedSettings:
        with _only_raising_settings_errors():
            proposed = self._parse(compose(self._base, items))
            check_no_restart_needed(self._file_settings, proposed)
            needed = {path: value for path, value in retired.items() if _is_needed(path, pending_classes)}
            settings = self._parse(compose(self._base, items, needed))
            return _accepted_settings(settings, proposed, retired_definitions(settings, proposed))

    def _usable_definitions(self, definitions: Mapping[str, Any]) -> dict[str, Any]:
        """The definitions that are valid together with the node's own file."""
        usable = {}
        for path, value in definitions.items():
            try:
                with _only_raising_settings_errors():
                    self._parse(compose(self._base, {}, {path: value}))
            except SettingsError as error:
                log.error("saved_definition_refused", error=str(error))
            else:
                usable[path] = value
        return usable


@contextmanager
def _only_raising_settings_errors() -> Iterator[None]:
    """Turn any other exception into a `SettingsError`, so that no document can end the node."""
    try:
        yield
    except SettingsError:
        raise
    except Exception as error:
        raise SettingsError(f"the document: {error!r}") from error


def _accepted_settings(
    settings: Settings, proposed: Settings, retired: Mapping[str, Any]
) -> AcceptedSettings:
    return AcceptedSettings(
        settings,
        frozenset(message_class.name for message_class in proposed.classes),
        frozenset(tenant.name for tenant in proposed.tenants),
        retired,
    )


def _is_needed(path: str, pending_classes: Collection[str]) -> bool:
    """Whether pending messages need a removed definition: a class its own, a kind of destination any."""
    group, _, name = path.partition("/")
    return name in pending_classes if group == LANES else group == KINDS and bool(pending_classes)
