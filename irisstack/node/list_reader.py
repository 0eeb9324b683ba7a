"""Parses the endpoint list's JSON into the types of the decision module's interface."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

import structlog
from gevent import socket

from irisstack import interface as api
from irisstack.node.config import parse_host_port
from irisstack.node.record_clock import RecordClock, resume_clock

STATES_BY_PHASE = {
    "SERVING": api.EndpointState.READY,
    "DRAINING": api.EndpointState.DRAINING,
    "DELETED": api.EndpointState.GONE,
}
FIRST_UNNAMED_ZONE = 1 << 16
"""Zones that the settings do not name are numbered from here; zones added to the settings stay below."""

log = structlog.get_logger()


class ListReader:
    """Parses list updates into `EndpointsUpdated`; an entry that cannot be parsed is logged and skipped."""

    def __init__(
        self, settings: api.Settings, max_waiting: int = 0, clock: RecordClock | None = None
    ) -> None:
        """`max_waiting` limits the entries that are kept until their kind is known.

        `clock` converts the list's Unix times; by default it is the wall clock as of now.
        """
        self._clock = clock or resume_clock(None)
        self._kind_indexes = {kind.name: i for i, kind in enumerate(settings.kinds)}
        self._max_waiting = max_waiting
        self._waiting_members: dict[str, Mapping[str, Any]] = {}  # entries of unknown kinds, by id
        self._revision = 0
        self._zone_numbers = {name: i for i, name in enumerate(settings.zones)}
        self._endpoints_by_id: dict[str, api.Endpoint] = {}  # as last parsed
        self._ids_by_address: dict[api.Address, str] = {}  # the id that owns each address

    def parse_update(
        self, raw: Mapping[str, Any], scope: api.UpdateScope | None = None
    ) -> api.EndpointsUpdated:
        """Parse one JSON object of discovery; raises `ValueError` or `KeyError` if it is no list update."""
        revision, members = int(raw["revision"]), raw["members"]
        if scope is None:
            scope = api.UpdateScope.FULL if raw["complete"] else api.UpdateScope.DELTA
        if scope is not api.UpdateScope.DELTA:
            self._waiting_members.clear()
        self._revision = revision
        endpoints = self._parse_members(members)
        if scope is not api.UpdateScope.DELTA:  # forget what a full list leaves out
            listed = {endpoint.address for endpoint in endpoints}
            self._endpoints_by_id = {
                id_: known for id_, known in self._endpoints_by_id.items() if known.address in listed
            }
            self._ids_by_address = {
                address: id_ for address, id_ in self._ids_by_address.items() if address in listed
            }
        return api.EndpointsUpdated(scope, revision, tuple(endpoints))

    def apply_settings(self, settings: api.Settings) -> api.EndpointsUpdated | None:
        """Use new settings; returns the waiting entries whose kind is now known, `None` if there are none."""
        self._kind_indexes = {kind.name: i for i, kind in enumerate(settings.kinds)}
        for i, name in enumerate(settings.zones):
            self._zone_numbers.setdefault(name, i)
        now_known = [
            member for member in self._waiting_members.values() if member["flavor"] in self._kind_indexes
        ]
        if not now_known:
            return None
        return api.EndpointsUpdated(
            api.UpdateScope.DELTA, self._revision, tuple(self._parse_members(now_known))
        )

    def _parse_members(self, members: Iterable[Mapping[str, Any]]) -> list[api.Endpoint]:
        endpoints: list[api.Endpoint] = []
        for member in members:
            try:
                if self._keep_until_kind_known(member):
                    continue
                parsed: tuple[str, api.Endpoint] | None = str(member["id"]), self._parse_endpoint(member)
            except Exception as error:  # one bad entry must not cost the rest of the list
                log.warning("list_line_unread", line=str(member)[:200], error=repr(error))
                # A change to draining or gone still takes effect, since the rest of the endpoint is known.
                parsed = self._parse_state_change(member)
            if parsed is not None:
                endpoints.extend(self._update_addresses(*parsed))
        return endpoints

    def _parse_state_change(self, member: Any) -> tuple[str, api.Endpoint] | None:
        """Parse only the id and the phase: a known endpoint that drains or is gone, else `None`."""
        if not isinstance(member, Mapping):
            return None
        id_, state = str(member.get("id")), STATES_BY_PHASE.get(str(member.get("phase")))
        known = self._endpoints_by_id.get(id_)
        if known is None or state is None or state is api.EndpointState.READY:
            return None
        return id_, replace(known, state=state)

    def _keep_until_kind_known(self, member: Mapping[str, Any]) -> bool:
        """Keep an entry of an unknown kind, the newest of each id; returns whether it was kept."""
        if not self._max_waiting:
            return False
        id_, state = str(member["id"]), STATES_BY_PHASE[member["phase"]]
        self._waiting_members.pop(id_, None)
        if member["flavor"] in self._kind_indexes or state is api.EndpointState.GONE:
            return False
        if id_ in self._endpoints_by_id and state is not api.EndpointState.READY:
            return False
        if len(self._waiting_members) >= self._max_waiting:
            return False
        self._waiting_members[id_] = member
        log.info("list_line_waits_for_its_kind", id=id_, kind=member["flavor"])
        return True

    def _zone_number(self, name: object) -> int:
        """A zone's number. A zone that the settings do not name gets its own, so that zones stay distinct."""
        return self._zone_numbers.setdefault(str(name), FIRST_UNNAMED_ZONE + len(self._zone_numbers))

    def _parse_endpoint(self, member: Mapping[str, Any]) -> api.Endpoint:
        """Parse one entry; raises whatever the parsing of a field raises."""
        state = STATES_BY_PHASE[member["phase"]]
        known = self._endpoints_by_id.get(str(member["id"]))
        if state is api.EndpointState.GONE and "host_port" not in member and known is not None:
            address = known.address
        else:
            host, port = parse_host_port(member["host_port"], "host_port")
            address = (socket.inet_aton(host), port)
        started_at = float(member.get("up_since_ms", 0)) / 1000.0
        return api.Endpoint(
            address,
            state,
            self._kind_indexes[member["flavor"]],
            int(member["cell"]),
            self._zone_number(member.get("locality", "")),
            float(member.get("size", 1.0)),
            self._clock.to_monotonic(started_at) if started_at else None,
        )

    def _update_addresses(self, id_: str, endpoint: api.Endpoint) -> list[api.Endpoint]:
        """Record an entry; returns the changes by address.

        An address under a new id is a new endpoint, and so is one that serves something else now under its
        old id, or that has started again. The previous endpoint at that address is then gone, and a later
        drain or removal under its id does not affect the address.
        """
        address, state = endpoint.address, endpoint.state
        known = self._endpoints_by_id.get(id_)
        id_at_address = self._ids_by_address.get(address)
        changes: list[api.Endpoint] = []
        if known is not None and known.address != address and self._ids_by_address.get(known.address) == id_:
            del self._ids_by_address[known.address]
            changes.append(replace(known, state=api.EndpointState.GONE))
        elif known is not None and id_at_address == id_ and _is_replaced(known, endpoint):
            changes.append(replace(known, state=api.EndpointState.GONE))
        if state is api.EndpointState.GONE:
            self._endpoints_by_id.pop(id_, None)
        else:
            self._endpoints_by_id[id_] = endpoint
        if id_at_address is not None and id_at_address != id_:
            if state is not api.EndpointState.READY:
                return changes
            changes.append(replace(endpoint, state=api.EndpointState.GONE))
        if state is api.EndpointState.GONE:
            self._ids_by_address.pop(address, None)
        else:
            self._ids_by_address[address] = id_
        return [*changes, endpoint]


def _is_replaced(known: api.Endpoint, endpoint: api.Endpoint) -> bool:
    """Whether another process is at the address of a known endpoint."""
    if (known.destination, known.kind, known.zone) != (endpoint.destination, endpoint.kind, endpoint.zone):
        return True
    return None not in (known.added_at, endpoint.added_at) and known.added_at != endpoint.added_at
