"""The node as a whole: construction of its parts, signal handling and shutdown."""

import signal
import sys
import time
import zlib
from collections.abc import Callable, Mapping
from dataclasses import fields, replace
from functools import partial
from typing import TYPE_CHECKING, Any

import gevent
import structlog
from gevent.event import Event

from irisstack import interface as api
from irisstack.common import logs
from irisstack.node import sockets
from irisstack.node.call import Call
from irisstack.node.config import Config, ConfigError, DynamicSettings, format_host_port, load, to_host_port
from irisstack.node.counters import Counters
from irisstack.node.decider import Decider, NewSettings
from irisstack.node.discovery import AddressChanged, Discovery
from irisstack.node.endpoint import Command, Endpoint, Reconfigure, Retire
from irisstack.node.intake import Intake, Stage
from irisstack.node.list_reader import ListReader
from irisstack.node.memory import MemoryMonitor, resident_bytes
from irisstack.node.memory_budget import divide_memory
from irisstack.node.notices import NoticeSender
from irisstack.node.peers import GossipSocket
from irisstack.node.retry import retry
from irisstack.node.store import Store
from irisstack.settings import SettingsError

if TYPE_CHECKING:  # imported at run time only if settings may change
    from irisstack.dynamic_settings.accepted import AcceptedSettings
    from irisstack.node.live_settings import LiveSettings
    from irisstack.node.settings_watch import SettingsWatch

SHUTDOWN_SEND_PERIOD = 2.2
"""Seconds after SIGTERM during which calls are still sent."""
SHUTDOWN_DEADLINE = 3.3
"""Seconds after SIGTERM at which the node exits, even with calls in flight."""
SHUTDOWN_ACCEPT_PERIOD = 0.9
"""Seconds after SIGTERM during which clients may still connect."""
RESERVED_DESCRIPTORS = 48
"""Descriptors reserved for the listening socket, new clients, the endpoint list, notices and stored data."""
MAX_WAITING_LINES = 1024
"""Endpoint list lines kept until their kind is known, where settings changes may add kinds."""
STATE_READ_TIMEOUT, STATE_READ_RETRY_PAUSE = 20.0, 0.2
"""Seconds for reading the state directory at startup, and between attempts."""
LISTEN_TIMEOUT = 10.0
"""Seconds for opening the node's own sockets at startup while the machine is out of resources."""
SHUTDOWN_POLL_INTERVAL = 0.05
"""Seconds between checks whether the shutdown is complete."""
NO_RESTART_NEEDED = ("discovery", "known", "seed")
"""Configuration keys whose change needs no restart: applied on reload, or used at startup only."""

log = structlog.get_logger()


class Service:
    """One node process: owns all parts and connects them."""

    def __init__(self, config: Config, stop: Event, reload: Event) -> None:
        self._config = config
        self._stop = stop
        self._reload = reload
        self.counters = Counters()
        self._store = self._open_store()
        budget = divide_memory(config.memory_bytes, resident_bytes())
        self._max_clients = min(config.sockets // 3, budget.max_clients)
        self._store.limit_memory(budget.message_bytes)
        self._live_settings: LiveSettings | None = None
        self._settings_watch: SettingsWatch[AcceptedSettings] | None = None
        if config.dynamic_settings is not None:
            self._start_dynamic_settings(config.dynamic_settings)
        settings = self._settings = (
            config.settings if self._live_settings is None else self._live_settings.in_force.settings
        )
        self._notices = NoticeSender(config.discovery, self._store, self.counters)
        max_waiting = 0 if self._live_settings is None else MAX_WAITING_LINES
        self._list_reader = ListReader(settings, max_waiting, self._store.clock)
        cached_list = self._read_cached_list(self._list_reader)
        self._discovery = Discovery(
            config.discovery,
            self._list_reader,
            self._handle_list_update,
            cached_list.version,
            pushed=not settings.discovery_on_request,
            counters=self.counters,
        )
        self._endpoints: dict[api.Address, Endpoint] = {}
        self._retired_endpoints: list[Endpoint] = []  # no longer listed, with their last calls in flight
        self._listed_addresses: set[api.Address] = set()
        self._decider = Decider(
            settings,
            config.seed,
            self._store,
            self.counters,
            send_command=self._send_command,
            request_endpoints=self._discovery.mailbox.put,
            post_notice=self._notices.add,
            mailbox_capacity=self._mailbox_capacity(settings),
            send_gossip=self._send_gossip,
            trial_settings=config.trial,
            apply_settings=None if self._live_settings is None else self._apply_settings,
        )
        self._gossip: GossipSocket | None = None
        if config.peers:
            open_gossip_socket = partial(
                GossipSocket, config.listen, config.peers, self._decider.receive_gossip, self.counters
            )
            self._gossip = sockets.retry_while_out_of_resources(open_gossip_socket, LISTEN_TIMEOUT)
        self._intake = Intake(
            config.listen,
            settings,
            self._decider.mailbox.put,
            self.counters,
            self._max_clients,
            budget.input_bytes,
        )
        if self._live_settings is not None:
            self._intake.update_settings(
                settings, self._live_settings.in_force.classes, self._live_settings.in_force.tenants
            )
        self._memory_monitor = MemoryMonitor(config.memory_bytes, self._memory_usage, self.counters)
        self._retire_unlisted(cached_list)
        self._decider.recover(cached_list)

    def _read_cached_list(self, reader: ListReader) -> api.EndpointsUpdated:
        empty = {"revision": 0, "members": []}
        try:
            cached_list = reader.parse_update({**empty, **self._config.known}, api.UpdateScope.CACHED)
        except (ValueError, KeyError, TypeError):
            raise ConfigError("known: expected an endpoint list with revision and members") from None
        return replace(cached_list, update_expected=not self._settings.discovery_on_request)

    def run(self) -> int:
        """Serve until the stop event; returns the exit code."""
        worker_functions = [
            self._decider.run,
            self._discovery.run,
            self._notices.run,
            self._reload_configuration,
            self._memory_monitor.run,
        ]
        try:
            if self._gossip is not None:
                self._gossip.start()
                worker_functions.append(self._gossip.run)
            if self._settings_watch is not None:
                worker_functions.append(self._settings_watch.run)
            sockets.retry_while_out_of_resources(self._intake.start, LISTEN_TIMEOUT)
        except OSError as error:
            raise ConfigError(f"listen: {format_host_port(self._config.listen)}: {error.strerror}") from None
        workers = [gevent.spawn(run) for run in worker_functions]
        for worker in workers:
            worker.link_exception(self._handle_worker_failure)
        log.info(
            "serving",
            name=self._config.name,
            listen=format_host_port(self._config.listen),
            discovery=format_host_port(self._config.discovery),
            memory_limit_kb=self._config.memory_bytes // 1024,
            max_clients=self._max_clients,
            counters=self.counters.snapshot(),
        )
        self._stop.wait()
        if any(worker.dead for worker in workers):
            return 1
        self._shut_down(time.monotonic())
        return 0

    def _reload_configuration(self) -> None:
        """Reload the configuration file at each SIGHUP; an invalid file changes nothing."""
        while True:
            self._reload.wait()
            self._reload.clear()
            try:
                loaded = load(reload=True)
            except ConfigError as error:
                log.error("configuration_not_taken", error=str(error))
                continue
            except Exception as error:  # no fault of a file may end a serving node
                log.error("configuration_not_taken", error=repr(error))
                continue
            if loaded.discovery != self._config.discovery:
                self._discovery.mailbox.put(AddressChanged(loaded.discovery))
                self._notices.set_address(loaded.discovery)
            await_restart = [
                field.name
                for field in fields(Config)
                if field.name not in NO_RESTART_NEEDED
                and getattr(loaded, field.name) != getattr(self._config, field.name)
            ]
            log.info(
                "configuration_taken",
                discovery=format_host_port(loaded.discovery),
                await_restart=await_restart,
            )
            self._config = replace(self._config, discovery=loaded.discovery)

    def _handle_worker_failure(self, worker: "gevent.Greenlet[..., None]") -> None:
        """Stop the node if a worker fails: all pending messages are in the state directory."""
        log.critical("part_failed", error=repr(worker.exception))
        self._stop.set()

    def _shut_down(self, requested_at: float) -> None:
        """Graceful shutdown: reject new messages, finish calls in flight, leave the rest to the next process.

        The node exits once every client has its answer, no call is in flight and nothing is left to send or
        to notify, at the latest after `SHUTDOWN_DEADLINE`.
        """
        log.info("stopping", calls_out=self._decider.calls_in_flight)
        self._decider.rejecting = True
        self._intake.drain()
        while (elapsed := time.monotonic() - requested_at) < SHUTDOWN_DEADLINE:
            self._decider.sends_stopped = elapsed > SHUTDOWN_SEND_PERIOD
            any_pending = any(entry.pending for entry in self._store.entries.values())
            if (
                self._intake.stage is Stage.CLOSED
                and self._intake.no_clients
                and not self._decider.calls_in_flight
                and self._notices.idle
                and (self._decider.sends_stopped or not any_pending)
            ):
                break
            if elapsed > SHUTDOWN_ACCEPT_PERIOD:
                self._intake.close()
            gevent.sleep(SHUTDOWN_POLL_INTERVAL)  # longer than the intake takes to count a new client
        self._intake.close()
        if self._gossip is not None:
            self._gossip.close()
        self._store.close()
        log.info("stopped", clients_left=not self._intake.no_clients, counters=self.counters.snapshot())

    def _memory_usage(self) -> dict[str, int]:
        """What the parts hold, for the log."""
        return {
            **self._intake.usage(),
            "messages": len(self._store.entries),
            "calls_in_flight": self._decider.calls_in_flight,
            "endpoints": len(self._endpoints) + len(self._retired_endpoints),
        }

    # ---- messages between the parts ----

    def _send_gossip(self, peer: int | None, data: bytes) -> None:
        if self._gossip is not None:
            self._gossip.send(peer, data)

    def _handle_list_update(self, update: api.EndpointsUpdated) -> None:
        self._retire_unlisted(update)
        self._decider.mailbox.put(update)

    def _retire_unlisted(self, update: api.EndpointsUpdated) -> None:
        """Retire endpoints that are no longer listed, or whose address now belongs to another endpoint."""
        if update.scope is api.UpdateScope.FAILED:
            return
        ready = {e.address for e in update.endpoints if e.state is api.EndpointState.READY}
        removed = {e.address for e in update.endpoints if e.state is not api.EndpointState.READY}
        if update.scope is api.UpdateScope.DELTA:
            self._listed_addresses = (self._listed_addresses - removed) | ready
        else:
            removed |= self._listed_addresses - ready
            self._listed_addresses = ready
        for address in removed & self._endpoints.keys():
            self._retire(self._endpoints.pop(address))

    def _retire(self, endpoint: Endpoint) -> None:
        log.info("endpoint_retired", endpoint=format_host_port(to_host_port(endpoint.address)))
        endpoint.mailbox.put(Retire())
        self._retired_endpoints = [*(old for old in self._retired_endpoints if not old.worker.dead), endpoint]

    def _send_command(self, address: api.Address, command: Command) -> None:
        endpoint = self._endpoints.get(address)
        if isinstance(command, Call):
            (endpoint or self._start_endpoint(address)).mailbox.put(command)
            return
        for old in (endpoint, *self._retired_endpoints):
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
            max_idle_connections=self._max_idle_connections(),
            max_calls=self._settings.max_calls,
            report_fields=self._settings.report_fields,
        )
        endpoint.worker.start()
        if address in self._listed_addresses:
            self._endpoints[address] = endpoint
        else:  # the `Sender` does not know yet that it is no longer listed
            self._retire(endpoint)
        return endpoint

    def _max_idle_connections(self) -> int:
        """How many idle connections to one endpoint may be kept.

        A third of the descriptors is for clients. Of the rest, what calls and the node itself do not need is
        divided among the endpoints.
        """
        spare = self._config.sockets - self._max_clients - self._settings.max_calls - RESERVED_DESCRIPTORS
        return max(1, spare // max(1, len(self._listed_addresses)))

    def _mailbox_capacity(self, settings: api.Settings) -> int:
        """The largest number of items that may be queued for the decider at once."""
        max_batch = max((kind.max_batch for kind in settings.kinds), default=1)
        return self._max_clients + settings.max_calls * max_batch + 64

    # ---- state directory and settings ----

    def _open_store(self) -> Store:
        """Open the state directory, less the bytes reserved for the saved settings if there are any."""
        disk_bytes = self._config.disk_bytes
        if self._config.dynamic_settings is not None:
            from irisstack.dynamic_settings.snapshot import DISK_RESERVE_BYTES

            disk_bytes -= DISK_RESERVE_BYTES
        state = self._config.state

        def log_failure(error: OSError) -> bool:
            log.error("folder_not_read", error=str(error))
            return True

        try:
            return retry(
                lambda _: Store(state, disk_bytes),
                log_failure,
                STATE_READ_TIMEOUT,
                STATE_READ_RETRY_PAUSE,
                STATE_READ_RETRY_PAUSE,
            )
        except OSError as error:
            raise ConfigError(f"state: {state}: {error.strerror}") from None

    def _start_dynamic_settings(self, source: DynamicSettings) -> None:
        """Restore the settings saved by the previous process and prepare to watch for changes."""
        from irisstack.dynamic_settings.snapshot import SavedSettingsFile
        from irisstack.node.live_settings import LiveSettings
        from irisstack.node.settings_watch import SettingsWatch

        config = self._config
        max_calls_limit = config.sockets - self._max_clients - RESERVED_DESCRIPTORS
        try:
            self._live_settings = LiveSettings(source.base, config.peers, max_calls_limit)
        except SettingsError as error:
            raise ConfigError(f"settings: {error}") from None
        saved_settings_file = SavedSettingsFile(config.state)
        if (saved := saved_settings_file.load()) is not None:
            pending_classes = {entry.message_class for entry in self._store.entries.values() if entry.pending}
            self._live_settings.restore(saved.items, saved.retired, pending_classes)
        self._settings_watch = SettingsWatch(
            source.members,
            source.prefix,
            source.bytes_per_s,
            saved_settings_file,
            self._check_settings,
            self._accept_settings,
            self.counters,
            # Nodes with the same seed, or none, must not all query the same member at the same time.
            zlib.crc32(f"{config.name} {format_host_port(config.listen)} {config.seed}".encode()),
        )

    def _check_settings(self, items: Mapping[str, Any]) -> "AcceptedSettings":
        """Check a settings document while the node serves.

        The largest document takes 0.1 s. The check only reads and computes, so it runs in a thread of its
        own; the interpreter switches between threads every few milliseconds.
        """
        assert self._live_settings is not None
        checked = gevent.get_hub().threadpool.apply(self._live_settings.check_without_raising, (items,))
        if isinstance(checked, SettingsError):
            raise checked
        accepted: AcceptedSettings = checked
        return accepted

    def _accept_settings(self, revision: int, accepted: "AcceptedSettings") -> None:
        """Queue validated settings for the decider, which puts them in force between two turns."""
        assert self._live_settings is not None
        self._live_settings.in_force = accepted
        self._decider.mailbox.put(
            NewSettings(revision, accepted.settings, accepted.classes, accepted.tenants)
        )

    def _apply_settings(self, new_settings: NewSettings) -> api.EndpointsUpdated | None:
        """Put new settings in force in all parts; called by the decider between two turns.

        Nothing here can fail. Everything but the commands to the endpoints takes effect before any other
        greenlet runs. Returns the list update for lines that can be read only under the new settings.
        """
        settings = self._settings = new_settings.settings
        self._intake.update_settings(settings, new_settings.classes, new_settings.tenants)
        self._decider.set_mailbox_capacity(self._mailbox_capacity(settings))
        update = self._list_reader.apply_settings(settings)
        if update is not None:
            self._retire_unlisted(update)
        command = Reconfigure(
            settings.connect_timeout,
            settings.keepalive,
            self._max_idle_connections(),
            settings.max_calls,
            settings.report_fields,
        )
        for endpoint in list(self._endpoints.values()):
            endpoint.mailbox.put(command)
        return update


def main(
    log_format: str = "json",
    log_level: str = "info",
    forward_early_reload: Callable[[Callable[[], None]], None] | None = None,
) -> int:
    """Run a node configured by the environment; an invalid configuration gives one line and exit code 2.

    `forward_early_reload` calls back for each SIGHUP that came before the handler here was installed.
    """
    logs.configure("console" if log_format == "console" else "json", log_level)
    stop, reload = Event(), Event()
    for signal_number, event in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, reload)):
        gevent.signal_handler(signal_number, event.set)
    if forward_early_reload is not None:
        forward_early_reload(reload.set)
    try:
        return Service(load(), stop, reload).run()
    except ConfigError as error:
        print(f"irisstack: {error}", file=sys.stderr)
        return 2
