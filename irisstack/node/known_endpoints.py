"""The endpoints and destinations of the list, and those that have left it a while ago."""

from collections.abc import Collection

from irisstack import interface as api


class KnownEndpoints:
    """Follows the updates of the endpoint list. Times are seconds on the monotonic clock.

    An endpoint that has left the list is kept for `retention` seconds: its calls may still end, and its
    destination may be about to get its next endpoint.
    """

    def __init__(self, retention: float) -> None:
        self.retention = retention
        self._endpoints: dict[api.Address, api.Endpoint] = {}  # listed now or until recently
        self._unlisted_since: dict[api.Address, float] = {}  # keys of `_endpoints` that are no longer listed
        self.destinations: set[int] = set()
        """Those of endpoints that are listed now or were until recently."""
        self._destinations_listed_at: dict[int, float] = {}  # when each was last listed

    def __getitem__(self, address: api.Address) -> api.Endpoint:
        return self._endpoints[address]

    def __len__(self) -> int:
        return len(self._endpoints)

    def update(self, update: api.EndpointsUpdated, now: float, in_use: Collection[api.Address]) -> None:
        """Take over an update of the list; endpoints at the addresses `in_use` are kept in any case."""
        if update.scope is api.UpdateScope.FAILED:
            return
        listed_before = self._listed_destinations
        self._endpoints.update((endpoint.address, endpoint) for endpoint in update.endpoints)
        self._note_unlisted(update, now)
        self._forget_endpoints(now, in_use)
        self._destinations_listed_at.update(dict.fromkeys(listed_before | self._listed_destinations, now))
        self._forget_destinations(now)

    @property
    def _listed_destinations(self) -> set[int]:
        """The destinations of the endpoints that are listed now."""
        return {
            endpoint.destination
            for address, endpoint in self._endpoints.items()
            if address not in self._unlisted_since
        }

    def _note_unlisted(self, update: api.EndpointsUpdated, now: float) -> None:
        available = {e.address for e in update.endpoints if e.state is not api.EndpointState.GONE}
        covered = (
            self._endpoints
            if update.scope is not api.UpdateScope.DELTA
            else {e.address for e in update.endpoints}
        )
        for address in set(covered) - available:
            self._unlisted_since.setdefault(address, now)
        for address in available & self._unlisted_since.keys():
            del self._unlisted_since[address]

    def _forget_endpoints(self, now: float, in_use: Collection[api.Address]) -> None:
        expired = [
            address
            for address, since in self._unlisted_since.items()
            if since + self.retention < now and address not in in_use
        ]
        for address in expired:
            del self._unlisted_since[address], self._endpoints[address]

    def _forget_destinations(self, now: float) -> None:
        self.destinations = {
            destination
            for destination, listed_at in self._destinations_listed_at.items()
            if listed_at + self.retention >= now
        }
        for destination in self._destinations_listed_at.keys() - self.destinations:
            del self._destinations_listed_at[destination]
