"""Discovery: follows the endpoint list through long-lived watches, and polls when a watch ends.

State: the current version, the current watch, and the updates with a version lower than the current
one ("older" versions). Invariants: there is at most one watch at a time; the version never
decreases, except when the discovery service changes, or after more than `MAX_OLDER_VERSIONS`
updates and heartbeats in a row with an older version. A heartbeat counts for the version of the
latest update on its watch.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from hookpitch.balancer.interface import Endpoint, EndpointState, EndpointUpdate
from hookpitch.core.deadlines import Deadline
from hookpitch.core.host import Host
from hookpitch.core.seeded_random import seeded_random
from hookpitch.net.clock import Clock
from hookpitch.net.discovery_watch import Watch, WatchFactory
from hookpitch.net.endpoint_list import EndpointList, EndpointListError, parse_endpoint_list
from hookpitch.startup.poll_schedule import NEVER, PollSchedule, WatchLoss

DEFAULT_POLL_INTERVAL_MS = 10000.0
CONNECT_TIMEOUT_FACTOR = 4  # multiple of the timeout of a connect to a backend
MAX_OBJECT_BYTES = 1 << 22  # default size limit of one list or change
# Updates and heartbeats in a row with an older version; a further one makes that version current.
MAX_OLDER_VERSIONS = 3
NO_VERSION = -1


class ListedEndpoint(NamedTuple):
    """An endpoint and its "host:port"."""

    endpoint: Endpoint
    address: str


class Discovery:
    """Receives endpoint lists and changes, and passes them to the host."""

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401 - Twisted's and the simulation's reactors have no common type
        clock: Clock,
        host: Host,
        address: tuple[str, int],
        version: int,
        max_object_bytes: int = MAX_OBJECT_BYTES,
    ) -> None:
        """Create the discovery client.

        `version` is that of the initial endpoint list; `max_object_bytes` limits one JSON object.
        """
        self.reactor = reactor
        self.clock = clock
        self.host = host
        self.address = address
        self.version = version
        self.max_object_bytes = max_object_bytes
        self.current_watch: Watch | None = None
        self.on_first_list: Callable[[], None] | None = None  # called on the first list
        deployment = host.deployment
        self.poll_schedule = PollSchedule(
            clock.now(),
            deployment.nodes,
            deployment.poll_interval_ms or DEFAULT_POLL_INTERVAL_MS,
            seeded_random(deployment.seed, "ask"),
            not deployment.polling_required,
        )
        self._next_poll: Deadline | None = None
        self._older_count = 0  # updates and heartbeats in a row with an older version
        self._older_version = NO_VERSION  # the latest older version on this watch
        # The complete list of that version; None where only changes have been received.
        self._older_list: dict[str, ListedEndpoint] | None = None

    # ---- polls and watches

    def schedule_poll(self) -> None:
        """Set the timer of the next poll to the schedule's due time."""
        self.clock.deadlines.cancel(self._next_poll)
        self._next_poll = None
        if self.poll_schedule.due_at < NEVER:
            self._next_poll = self.clock.deadlines.add(self.poll_schedule.due_at, self._poll)

    def _poll(self, now: float) -> None:
        if self.poll_schedule.is_due(now):
            self.start_watch(now)
        else:
            self.schedule_poll()

    def reconfigured(self) -> None:
        """Apply the current settings to the poll schedule."""
        deployment = self.host.deployment
        interval_ms = deployment.poll_interval_ms or DEFAULT_POLL_INTERVAL_MS
        self.poll_schedule.reconfigure(
            deployment.nodes, interval_ms, not deployment.polling_required
        )

    def start_watch(self, now: float) -> None:
        """Open a watch, which replaces the current one."""
        self.host.counters.add("lists.asked")
        self.poll_schedule.poll_started(now)
        self.schedule_poll()
        if self.current_watch is not None:
            self.current_watch.close()
        watch = Watch(self)
        self.current_watch = watch
        watch.connector = self.reactor.connectTCP(*self.address, WatchFactory(watch), timeout=None)
        watch.set_silence_timeout(CONNECT_TIMEOUT_FACTOR * self.host.deployment.connect_timeout_ms)

    def watch_lost(self, watch: Watch, cause: WatchLoss, retry_after: float) -> None:
        """Handle a lost watch; `retry_after` is the shortest time in ms until the next poll."""
        if watch is not self.current_watch:
            return
        self.current_watch = None
        # The count of older versions stays. Their list is dropped, as the next watch may reach
        # another discovery server with another list.
        self._older_list = None
        self._older_version = NO_VERSION
        now = self.clock.now()
        if not self.poll_schedule.failures:
            self.host.logger.info("discovery_lost", reason=cause.name.lower())
        self.host.update_endpoints(now, EndpointUpdate.FAILED, [], {})
        self.poll_schedule.poll_failed(now, cause, retry_after)
        self.schedule_poll()

    def change_address(self, address: tuple[str, int], reset_version: bool = False) -> None:
        """Watch discovery at an address, from version 0 if the address has changed.

        `reset_version` starts from version 0 also at the same address; it is set when new settings
        change the meaning of the current list.
        """
        is_reset = reset_version or address != self.address
        if not is_reset and self.current_watch is not None:
            return
        if is_reset:
            self.address = address
            self.version = 0
            self._discard_older_version()
        self.start_watch(self.clock.now())

    # ---- events of a watch

    def list_received(self, text: bytes) -> None:
        """Handle a list or a change. Raises EndpointListError where `text` is not usable."""
        update = parse_endpoint_list(text, self.host.deployment.kinds)
        if update.complete and not update.endpoints:
            # A discovery service that has lost its data would empty the list of every node.
            raise EndpointListError(f"complete list of version {update.version} has no endpoints")
        self.poll_schedule.endpoints_received()
        self.schedule_poll()
        if update.version < self.version:
            self._older_version_received(update)
            return
        self.version = update.version
        self._discard_older_version()
        kind = EndpointUpdate.SNAPSHOT if update.complete else EndpointUpdate.DELTA
        self.host.update_endpoints(self.clock.now(), kind, update.endpoints, update.addresses)
        if self.on_first_list is not None:
            self.on_first_list()

    def heartbeat_received(self) -> None:
        """Handle a heartbeat, or another sign that discovery has nothing newer.

        The heartbeat counts as a response to the poll.
        """
        self.poll_schedule.endpoints_received()
        self.schedule_poll()
        if self._older_version == NO_VERSION:
            return
        self._older_count += 1
        if self._older_count > MAX_OLDER_VERSIONS:
            self._accept_older_version()

    # ---- versions older than the current one

    def _discard_older_version(self) -> None:
        self._older_count = 0
        self._older_version = NO_VERSION
        self._older_list = None

    def _older_version_received(self, update: EndpointList) -> None:
        """Handle an older version: discovery lags, or has restarted its version count.

        The list of a discovery service that lags could bring back backends removed long ago, so an
        older list is accepted only after more than `MAX_OLDER_VERSIONS` updates and heartbeats.
        Until then the watch stays open: if it were closed, hundreds of nodes would poll again each
        time.
        """
        if update.complete:
            self._older_list = {}
        if self._older_list is not None:
            self._apply_to_older_list(update, self._older_list)
        self._older_version = update.version
        self.host.record_malformed(
            "versions", f"received version {update.version} is older than version {self.version}"
        )
        # Nothing new may be sent to an endpoint that is draining or removed (rule 3), whatever the
        # version of the update.
        unavailable = [
            endpoint for endpoint in update.endpoints if endpoint.state != EndpointState.READY
        ]
        if unavailable:
            self.host.update_endpoints(
                self.clock.now(), EndpointUpdate.DELTA, unavailable, update.addresses
            )
        self.heartbeat_received()

    def _apply_to_older_list(self, update: EndpointList, listed: dict[str, ListedEndpoint]) -> None:
        for endpoint in update.endpoints:
            if endpoint.state != EndpointState.REMOVED:
                address = update.addresses[endpoint.id]
                listed[endpoint.id] = ListedEndpoint(endpoint, address)
        for endpoint in update.endpoints:
            if endpoint.state == EndpointState.REMOVED:
                listed.pop(endpoint.id, None)

    def _accept_older_version(self) -> None:
        """Make the older version and its list the current ones."""
        listed = self._older_list
        self.version = self._older_version
        self._discard_older_version()
        if listed is None:  # changes alone do not give the list; the next watch requests all of it
            self.version = 0
            raise EndpointListError(
                "discovery restarted its version count and sent changes without a complete list"
            )
        endpoints = [entry.endpoint for entry in listed.values()]
        addresses = {backend_id: entry.address for backend_id, entry in listed.items()}
        self.host.update_endpoints(self.clock.now(), EndpointUpdate.SNAPSHOT, endpoints, addresses)
