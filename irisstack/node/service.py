"""The whole node: its parts wired together, its signals, its end."""

import signal
import sys
import time
import zlib
from collections.abc import Mapping
from dataclasses import fields, replace
from functools import partial
from typing import TYPE_CHECKING, Any

import gevent
import structlog
from gevent.event import Event

from irisstack import interface as api
from irisstack.common import logs
from irisstack.node import sockets
from irisstack.node.config import Config, ConfigError, DynamicSettings, format_host_port, load, to_host_port
from irisstack.node.counters import Counters
from irisstack.node.decider import Decider, NewSettings
from irisstack.node.discovery import AddressChanged, Discovery
from irisstack.node.endpoint import Call, Command, Endpoint, Reconfigure, Retire
from irisstack.node.intake import Intake, Stage
from irisstack.node.list_reader import ListReader
from irisstack.node.notices import NoticeSender
from irisstack.node.peers import GossipSocket
from irisstack.node.retry import retry
from irisstack.node.store import Store
from irisstack.settings import SettingsError

if TYPE_CHECKING:  # loaded only where settings may change
    from irisstack.dynamic_settings.accepted import AcceptedSettings
    from irisstack.node.live_settings import LiveSettings
    from irisstack.node.settings_watch import SettingsWatch

SHUTDOWN_SEND_PERIOD = 2.2
"""Seconds after SIGTERM in which calls still leave."""
SHUTDOWN_DEADLINE = 3.3
"""Seconds after SIGTERM at which the node ends, whatever is still out."""
SHUTDOWN_ACCEPT_PERIOD = 0.9
"""Seconds after SIGTERM in which clients may still come."""
RESERVED_DESCRIPTORS = 48
"""Kept for the listening socket, clients in the doorway, the list, notices and the folder."""
MOST_WAITING_LINES = 1024
"""Lines of the list that are kept until their kind is known, where kinds may come while the node runs."""
FOLDER_READ_WITHIN, FOLDER_READ_PAUSE = 20.0, 0.2
"""Seconds in which the folder has to be read at the start, and from a failure to the next try."""
LISTEN_WITHIN = 10.0
"""Seconds in which the node's own sockets have to be had at the start, where the machine lacks something."""
SHUTDOWN_POLL_INTERVAL = 0.05
"""Seconds between two looks at what is left to end."""
NO_RESTART_NEEDED = ("discovery", "known", "seed")
"""What a running node follows when the file changes, or needs at its start alone; the rest waits."""

log = structlog.get_logger()


class Service:
    """One node."""

    def __init__(self, config: Config, stop: Event, reread: Event) -> None:
        self._config = config
        self._stop = stop
        self._reread = reread
        self.counters = Counters()
        self._store = self._open_store()
        self._most_clients = config.sockets // 3
        self._live: LiveSettings | None = None
        self._settings_watch: SettingsWatch[AcceptedSettings] | None = None
        if config.dynamic_settings is not None:
            self._start_dynamic_settings(config.dynamic_settings)
        settings = self._settings = config.settings if self._live is None else self._live.in_force.settings
        self._notices = NoticeSender(config.discovery, self._store, self.counters)
        max_waiting = 0 if self._live is None else MOST_WAITING_LINES
        self._reader = ListReader(settings, max_waiting, self._store.clock)
        known = self._known(self._reader)
        self._discovery = Discovery(
            config.discovery,
            self._reader,
            self._listed,
            known.version,
            pushed=not settings.discovery_on_request,
            counters=self.counters,
        )
        self._endpoints: dict[api.Address, Endpoint] = {}
        self._retired: list[Endpoint] = []  # no longer offered, their last calls still out
        self._listed_now: set[api.Address] = set()
        self._decider = Decider(
            settings,
            config.seed,
            self._store,
            self.counters,
            send_command=self._to_endpoint,
            request_endpoints=self._discovery.mailbox.put,
            post_notice=self._notices.add,
            mailbox_capacity=self._mailbox_room(settings),
            send_gossip=self._tell,
            trial_settings=config.trial,
            apply_settings=None if self._live is None else self._take_settings,
        )
        self._peers: GossipSocket | None = None
        if config.peers:
            peers = partial(
                GossipSocket, config.listen, config.peers, self._decider.receive_gossip, self.counters
            )
            self._peers = sockets.retry_while_out_of_resources(peers, LISTEN_WITHIN)
        self._intake = Intake(
            config.listen, settings, self._decider.mailbox.put, self.counters, self._most_clients
        )
        if self._live is not None:
            self._intake.update_settings(settings, self._live.in_force.classes, self._live.in_force.tenants)
        self._follow(known)
        self._decider.recover(known)

    def _known(self, reader: ListReader) -> api.EndpointsUpdated:
        empty = {"revision": 0, "members": []}
        try:
            return reader.parse_update({**empty, **self._config.known}, api.UpdateScope.CACHED)
        except (ValueError, KeyError, TypeError):
            raise ConfigError("known: no list of endpoints") from None

    def run(self) -> int:
        """Serve until asked to stop; returns the exit code."""
        runs = [self._decider.run, self._discovery.run, self._notices.run, self._read_anew]
        try:
            if self._peers is not None:
                self._peers.start()
                runs.append(self._peers.run)
            if self._settings_watch is not None:
                runs.append(self._settings_watch.run)
            sockets.retry_while_out_of_resources(self._intake.start, LISTEN_WITHIN)
        except OSError as error:
            raise ConfigError(f"listen: {format_host_port(self._config.listen)}: {error.strerror}") from None
        parts = [gevent.spawn(run) for run in runs]
        for part in parts:
            part.link_exception(self._broken)
        log.info(
            "serving",
            name=self._config.name,
            listen=format_host_port(self._config.listen),
            discovery=format_host_port(self._config.discovery),
            **self.counters.snapshot(),
        )
        self._stop.wait()
        if any(part.dead for part in parts):
            return 1
        self._end(time.monotonic())
        return 0

    def _read_anew(self) -> None:
        """At each SIGHUP, follow what the file says now; one that cannot be used changes nothing."""
        while True:
            self._reread.wait()
            self._reread.clear()
            try:
                new = load(reload=True)
            except ConfigError as error:
                log.error("configuration_not_taken", error=str(error))
                continue
            except Exception as error:  # whatever it is, a node that serves is not ended by a file
                log.error("configuration_not_taken", error=repr(error))
                continue
            if new.discovery != self._config.discovery:
                self._discovery.mailbox.put(AddressChanged(new.discovery))
                self._notices.set_address(new.discovery)
            waiting = [
                field.name
                for field in fields(Config)
                if field.name not in NO_RESTART_NEEDED
                and getattr(new, field.name) != getattr(self._config, field.name)
            ]
            log.info("configuration_taken", discovery=format_host_port(new.discovery), await_restart=waiting)
            self._config = replace(self._config, discovery=new.discovery)

    def _broken(self, part: "gevent.Greenlet[..., None]") -> None:
        """A part that fails takes the node with it: the folder knows all that is owed."""
        log.critical("part_failed", error=repr(part.exception))
        self._stop.set()

    def _end(self, asked: float) -> None:
        """Graceful shutdown: turn away what is new, end what is out, leave the rest to the next life.

        The node ends once each client that came has its answer, no call is out and nothing is left to tell or
        to send; at `END_BY` whatever there is.
        """
        log.info("stopping", calls_out=self._decider.calls_in_flight)
        self._decider.rejecting = True
        self._intake.drain()
        while (passed := time.monotonic() - asked) < SHUTDOWN_DEADLINE:
            self._decider.sends_stopped = passed > SHUTDOWN_SEND_PERIOD
            owed = any(entry.pending for entry in self._store.entries.values())
            if (
                self._intake.stage is Stage.CLOSED
                and self._intake.no_clients
                and not self._decider.calls_in_flight
                and self._notices.idle
                and (self._decider.sends_stopped or not owed)
            ):
                break
            if passed > SHUTDOWN_ACCEPT_PERIOD:
                self._intake.close()
            gevent.sleep(SHUTDOWN_POLL_INTERVAL)  # longer than it takes those just accepted to count as here
        self._intake.close()
        if self._peers is not None:
            self._peers.close()
        self._store.close()
        log.info("stopped", clients_left=not self._intake.no_clients, **self.counters.snapshot())

    # ---- between the parts ----

    def _tell(self, peer: int | None, data: bytes) -> None:
        if self._peers is not None:
            self._peers.send(peer, data)

    def _listed(self, update: api.EndpointsUpdated) -> None:
        self._follow(update)
        self._decider.mailbox.put(update)

    def _follow(self, update: api.EndpointsUpdated) -> None:
        """Retire the actors of endpoints that the list no longer offers, or has replaced at their address."""
        if update.scope is api.UpdateScope.FAILED:
            return
        offered = {e.address for e in update.endpoints if e.state is api.EndpointState.READY}
        ended = {e.address for e in update.endpoints if e.state is not api.EndpointState.READY}
        if update.scope is api.UpdateScope.DELTA:
            self._listed_now = (self._listed_now - ended) | offered
        else:
            ended |= self._listed_now - offered
            self._listed_now = offered
        for address in ended & self._endpoints.keys():
            self._retire(self._endpoints.pop(address))

    def _retire(self, endpoint: Endpoint) -> None:
        log.info("endpoint_retired", endpoint=format_host_port(to_host_port(endpoint.address)))
        endpoint.mailbox.put(Retire())
        self._retired = [*(old for old in self._retired if not old.worker.dead), endpoint]

    def _to_endpoint(self, address: api.Address, command: Command) -> None:
        endpoint = self._endpoints.get(address)
        if isinstance(command, Call):
            (endpoint or self._start_endpoint(address)).mailbox.put(command)
            return
        for old in (endpoint, *self._retired):
            if old is not None and old.address == address and not old.worker.dead:
                old.mailbox.put(command)

    def _start_endpoint(self, address: api.Address) -> Endpoint:
        endpoint = Endpoint(
            address,
            to_host_port(address),
            self._decider.mailbox.put,
            self._store,
            self.counters,
            connect_timeout=self._settings.connect_timeout,
            idle_timeout=self._settings.keepalive,
            max_idle_connections=self._most_idle(),
            max_calls=self._settings.max_calls,
            report_fields=self._settings.report_fields,
        )
        endpoint.worker.start()
        if address in self._listed_now:
            self._endpoints[address] = endpoint
        else:  # the module has yet to hear that it is no longer offered
            self._retire(endpoint)
        return endpoint

    def _most_idle(self) -> int:
        """Connections to one endpoint that may be kept.

        A third of the descriptors is for clients; of the rest, what calls and the node itself do not need is
        shared out among the endpoints.
        """
        spare = self._config.sockets - self._most_clients - self._settings.max_calls - RESERVED_DESCRIPTORS
        return max(1, spare // max(1, len(self._listed_now)))

    def _mailbox_room(self, settings: api.Settings) -> int:
        """What may be under way to the decider at once."""
        most_batch = max((kind.max_batch for kind in settings.kinds), default=1)
        return self._most_clients + settings.max_calls * most_batch + 64

    # ---- settings that change ----

    def _open_store(self) -> Store:
        """The lasting folder, less the room of the settings' file where there is one."""
        disk_bytes = self._config.disk_bytes
        if self._config.dynamic_settings is not None:
            from irisstack.dynamic_settings.snapshot import DISK_RESERVE_BYTES

            disk_bytes -= DISK_RESERVE_BYTES
        state = self._config.state

        def failed(error: OSError) -> bool:
            log.error("folder_not_read", error=str(error))
            return True

        try:
            return retry(
                lambda _: Store(state, disk_bytes),
                failed,
                FOLDER_READ_WITHIN,
                FOLDER_READ_PAUSE,
                FOLDER_READ_PAUSE,
            )
        except OSError as error:
            raise ConfigError(f"state: {state}: {error.strerror}") from None

    def _start_dynamic_settings(self, source: DynamicSettings) -> None:
        """Take the settings of the life before, and get ready to follow those that come."""
        from irisstack.dynamic_settings.snapshot import SavedSettingsFile
        from irisstack.node.live_settings import LiveSettings
        from irisstack.node.settings_watch import SettingsWatch

        config = self._config
        most_calls = config.sockets - self._most_clients - RESERVED_DESCRIPTORS
        try:
            self._live = LiveSettings(source.base, config.peers, most_calls)
        except SettingsError as error:
            raise ConfigError(f"settings: {error}") from None
        file = SavedSettingsFile(config.state)
        if (saved := file.load()) is not None:
            owed = {entry.message_class for entry in self._store.entries.values() if entry.pending}
            self._live.restore(saved.items, saved.retired, owed)
        self._settings_watch = SettingsWatch(
            source.members,
            source.prefix,
            source.bytes_per_s,
            file,
            self._check_settings,
            self._accept_settings,
            self.counters,
            # Nodes that were given one seed, or none, must not all ask one member at one time.
            zlib.crc32(f"{config.name} {format_host_port(config.listen)} {config.seed}".encode()),
        )

    def _check_settings(self, items: Mapping[str, Any]) -> "AcceptedSettings":
        """Check a document while the node serves.

        The largest takes a tenth of a second. The check reads and computes alone, so it may have a thread of
        its own, with which the interpreter shares out the time every few milliseconds.
        """
        assert self._live is not None
        checked = gevent.get_hub().threadpool.apply(self._live.check_without_raising, (items,))
        if isinstance(checked, SettingsError):
            raise checked
        accepted: AcceptedSettings = checked
        return accepted

    def _accept_settings(self, revision: int, accepted: "AcceptedSettings") -> None:
        """Settings that passed the check: the decider has them take effect between two turns."""
        assert self._live is not None
        self._live.in_force = accepted
        self._decider.mailbox.put(
            NewSettings(revision, accepted.settings, accepted.classes, accepted.tenants)
        )

    def _take_settings(self, new: NewSettings) -> api.EndpointsUpdated | None:
        """Put new settings in force in all parts; called by the decider between two turns.

        Nothing here can fail, and all but the endpoints' commands is done before anything else may run.
        Returns what can now be read of the list.
        """
        settings = self._settings = new.settings
        self._intake.update_settings(settings, new.classes, new.tenants)
        self._decider.set_mailbox_capacity(self._mailbox_room(settings))
        update = self._reader.apply_settings(settings)
        if update is not None:
            self._follow(update)
        terms = Reconfigure(
            settings.connect_timeout,
            settings.keepalive,
            self._most_idle(),
            settings.max_calls,
            settings.report_fields,
        )
        for endpoint in list(self._endpoints.values()):
            endpoint.mailbox.put(terms)
        return update


def main(log_format: str = "json", log_level: str = "info") -> int:
    """Run a node from the environment; a configuration that cannot be used is one line and code 2."""
    logs.configure("console" if log_format == "console" else "json", log_level)
    stop, reread = Event(), Event()
    for number, asked in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, reread)):
        gevent.signal_handler(number, asked.set)
    try:
        return Service(load(), stop, reread).run()
    except ConfigError as error:
        print(f"irisstack: {error}", file=sys.stderr)
        return 2
