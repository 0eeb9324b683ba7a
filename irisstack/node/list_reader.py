"""Reads the endpoint list's JSON into the decision module's terms, line by line."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

import structlog
from gevent import socket

from irisstack import interface as api
from irisstack.node.config import parse_host_port
from irisstack.node.record_clock import RecordClock, resume_clock

STATES = {
    "SERVING": api.EndpointState.READY,
    "DRAINING": api.EndpointState.DRAINING,
    "DELETED": api.EndpointState.GONE,
}
UNNAMED_ZONES = 1 << 16
"""The number of the first zone that the settings do not name; theirs stay below, also as zones are added."""

log = structlog.get_logger()


class ListReader:
    """The list's JSON as `EndpointsUpdated`; a line that cannot be read is logged and passed over."""

    def __init__(
        self, settings: api.Settings, max_waiting: int = 0, clock: RecordClock | None = None
    ) -> None:
        """`clock` is what the list's Unix times are read by; by default the wall clock as it is now."""
        self._clock = clock or resume_clock(None)
        self._kinds = {kind.name: i for i, kind in enumerate(settings.kinds)}
        self._max_waiting = max_waiting
        self._waiting: dict[str, Mapping[str, Any]] = {}  # lines of kinds not known yet, by id
        self._revision = 0
        self._zones = {name: i for i, name in enumerate(settings.zones)}
        self._known: dict[str, api.Endpoint] = {}  # by id, as last read
        self._owners: dict[api.Address, str] = {}  # the id that stands for each address

    def parse_update(
        self, raw: Mapping[str, Any], scope: api.UpdateScope | None = None
    ) -> api.EndpointsUpdated:
        """One object of discovery's; raises `ValueError` or `KeyError` if it is none."""
        revision, members = int(raw["revision"]), raw["members"]
        if scope is None:
            scope = api.UpdateScope.FULL if raw["complete"] else api.UpdateScope.DELTA
        if scope is not api.UpdateScope.DELTA:
            self._waiting.clear()
        self._revision = revision
        endpoints = self._read(members)
        if scope is not api.UpdateScope.DELTA:  # what the whole list leaves out is forgotten
            here = {endpoint.address for endpoint in endpoints}
            self._known = {id_: known for id_, known in self._known.items() if known.address in here}
            self._owners = {address: id_ for address, id_ in self._owners.items() if address in here}
        return api.EndpointsUpdated(scope, revision, tuple(endpoints))

    def apply_settings(self, settings: api.Settings) -> api.EndpointsUpdated | None:
        """Go by other settings; returns what can be read now of the lines that waited for their kind."""
        self._kinds = {kind.name: i for i, kind in enumerate(settings.kinds)}
        for i, name in enumerate(settings.zones):
            self._zones.setdefault(name, i)
        ready = [line for line in self._waiting.values() if line["flavor"] in self._kinds]
        if not ready:
            return None
        return api.EndpointsUpdated(api.UpdateScope.DELTA, self._revision, tuple(self._read(ready)))

    def _read(self, members: Iterable[Mapping[str, Any]]) -> list[api.Endpoint]:
        endpoints: list[api.Endpoint] = []
        for member in members:
            try:
                if self._waits(member):
                    continue
                said: tuple[str, api.Endpoint] | None = str(member["id"]), self._endpoint(member)
            except Exception as error:  # a single bad line must not cost the rest of the list
                log.warning("list_line_unread", line=str(member)[:200], error=repr(error))
                # That an endpoint drains or is gone is heeded all the same: all else of it is known.
                said = self._no_longer_offered(member)
            if said is not None:
                endpoints.extend(self._place(*said))
        return endpoints

    def _no_longer_offered(self, member: Any) -> tuple[str, api.Endpoint] | None:
        """What an unreadable line still says of an endpoint that is known, if that drains or is gone."""
        if not isinstance(member, Mapping):
            return None
        id_, state = str(member.get("id")), STATES.get(str(member.get("phase")))
        known = self._known.get(id_)
        if known is None or state is None or state is api.EndpointState.READY:
            return None
        return id_, replace(known, state=state)

    def _waits(self, member: Mapping[str, Any]) -> bool:
        """Whether a line is kept until its kind is known; the newest of each id counts."""
        if not self._max_waiting:
            return False
        id_, state = str(member["id"]), STATES[member["phase"]]
        self._waiting.pop(id_, None)
        if member["flavor"] in self._kinds or state is api.EndpointState.GONE:
            return False
        if id_ in self._known and state is not api.EndpointState.READY:
            return False
        if len(self._waiting) >= self._max_waiting:
            return False
        self._waiting[id_] = member
        log.info("list_line_waits_for_its_kind", id=id_, kind=member["flavor"])
        return True

    def _zone(self, name: object) -> int:
        """A zone's number. One that the settings do not name gets its own: it must not pass for another."""
        return self._zones.setdefault(str(name), UNNAMED_ZONES + len(self._zones))

    def _endpoint(self, member: Mapping[str, Any]) -> api.Endpoint:
        """What a line says; raises what a field that cannot be read raises."""
        state = STATES[member["phase"]]
        known = self._known.get(str(member["id"]))
        if state is api.EndpointState.GONE and "host_port" not in member and known is not None:
            address = known.address
        else:
            host, port = parse_host_port(member["host_port"], "host_port")
            address = (socket.inet_aton(host), port)
        since = float(member.get("up_since_ms", 0)) / 1000.0
        return api.Endpoint(
            address,
            state,
            self._kinds[member["flavor"]],
            int(member["cell"]),
            self._zone(member.get("locality", "")),
            float(member.get("size", 1.0)),
            self._clock.to_monotonic(since) if since else None,
        )

    def _place(self, id_: str, endpoint: api.Endpoint) -> list[api.Endpoint]:
        """What a line means place by place: an address under another id is another endpoint.

        The one there before is gone then, and what the list may still say of it means that place no more.
        """
        address, state = endpoint.address, endpoint.state
        known = self._known.get(id_)
        owner = self._owners.get(address)
        lines: list[api.Endpoint] = []
        if known is not None and known.address != address and self._owners.get(known.address) == id_:
            del self._owners[known.address]
            lines.append(replace(endpoint, address=known.address, state=api.EndpointState.GONE))
        if state is api.EndpointState.GONE:
            self._known.pop(id_, None)
        else:
            self._known[id_] = endpoint
        if owner is not None and owner != id_:
            if state is not api.EndpointState.READY:
                return lines
            lines.append(replace(endpoint, state=api.EndpointState.GONE))
        if state is api.EndpointState.GONE:
            self._owners.pop(address, None)
        else:
            self._owners[address] = id_
        return [*lines, endpoint]
