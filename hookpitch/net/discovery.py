"""Discovery: follows the endpoint list by watches that stay open, and polls when they end.

State: the version that is held, the current watch, and what has come with versions lower than the
one held. Invariants: at most one watch at a time; the version never falls, except for another
discovery or one that was heard with lower versions more than `MAX_OLDER_VERSIONS` times in a row,
heartbeats included.
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
CONNECT_TIMEOUT_FACTOR = 4  # times the timeout of a connect to a server
MAX_OBJECT_BYTES = 1 << 22  # of one list or change, where nothing else is said
MAX_OLDER_VERSIONS = 3  # in a row, heartbeats included, before a lower version is taken over
NO_VERSION = -1


class ListedEndpoint(NamedTuple):
    """An endpoint and its "host:port"."""

    endpoint: Endpoint
    address: str


class Discovery:
    """The source of endpoint lists; it hands each update to the host."""

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401 - real or simulated, without a common type
        clock: Clock,
        host: Host,
        address: tuple[str, int],
        version: int,
        max_object_bytes: int = MAX_OBJECT_BYTES,
    ) -> None:
        """`version`: of the list that is held at the start; `max_object_bytes`: of one object."""
        self.reactor = reactor
        self.clock = clock
        self.host = host
        self.address = address
        self.version = version
        self.max_object_bytes = max_object_bytes
        self.current_watch: Watch | None = None
        self.on_first_list: Callable[[], None] | None = None  # called once a list has come
        deployment = host.deployment
        self.poll_schedule = PollSchedule(
            clock.now(),
            deployment.nodes,
            deployment.poll_interval_ms or DEFAULT_POLL_INTERVAL_MS,
            seeded_random(deployment.seed, "ask"),
            not deployment.polling_required,
        )
        self._next_poll: Deadline | None = None
        self._older_count = 0  # how often in a row discovery was heard with lower versions
        self._older_version = NO_VERSION  # the last lower one on this watch
        # The complete list with that version; None where only changes have come.
        self._older_list: dict[str, ListedEndpoint] | None = None

    # ---- polls and watches

    def schedule_poll(self) -> None:
        """Sets the next poll to when the schedule wants it."""
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
        """Takes over the settings for polls."""
        deployment = self.host.deployment
        interval_ms = deployment.poll_interval_ms or DEFAULT_POLL_INTERVAL_MS
        self.poll_schedule.reconfigure(
            deployment.nodes, interval_ms, not deployment.polling_required
        )

    def start_watch(self, now: float) -> None:
        """Opens a watch, in place of the one there is."""
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
        """A watch has ended by itself; `retry_after`: ms for which discovery wants no poll."""
        if watch is not self.current_watch:
            return
        self.current_watch = None
        # How often lower versions came stays counted; their list may be another's by now.
        self._older_list = None
        self._older_version = NO_VERSION
        now = self.clock.now()
        if not self.poll_schedule.failures:
            self.host.logger.info("discovery_lost", reason=cause.name.lower())
        self.host.update_endpoints(now, EndpointUpdate.FAILED, [], {})
        self.poll_schedule.poll_failed(now, cause, retry_after)
        self.schedule_poll()

    def change_address(self, address: tuple[str, int], reset_version: bool = False) -> None:
        """Watches discovery at an address, from version 0 where the address is another.

        `reset_version`: also at the same address, as the list that is held means something else.
        """
        is_reset = reset_version or address != self.address
        if not is_reset and self.current_watch is not None:
            return
        if is_reset:
            self.address = address
            self.version = 0
            self._forget_older()
        self.start_watch(self.clock.now())

    # ---- what a watch hands on

    def list_received(self, text: bytes) -> None:
        """A list or a change has come. Raises EndpointListError where it can't be used."""
        update = parse_endpoint_list(text, self.host.deployment.kinds)
        if update.complete and not update.endpoints:
            # A discovery that has lost its data would empty the list of every node.
            raise EndpointListError("a whole list without servers")
        self.poll_schedule.endpoints_received()
        self.schedule_poll()
        if update.version < self.version:
            self._older_received(update)
            return
        self.version = update.version
        self._forget_older()
        kind = EndpointUpdate.SNAPSHOT if update.complete else EndpointUpdate.DELTA
        self.host.update_endpoints(self.clock.now(), kind, update.endpoints, update.addresses)
        if self.on_first_list is not None:
            self.on_first_list()

    def heartbeat_received(self) -> None:
        """Discovery was heard and has nothing newer than is held.

        A watch on which nothing has changed is no poll without an answer.
        """
        self.poll_schedule.endpoints_received()
        self.schedule_poll()
        if self._older_version == NO_VERSION:
            return
        self._older_count += 1
        if self._older_count > MAX_OLDER_VERSIONS:
            self._accept_older()

    # ---- versions lower than the one held

    def _forget_older(self) -> None:
        self._older_count = 0
        self._older_version = NO_VERSION
        self._older_list = None

    def _older_received(self, update: EndpointList) -> None:
        """Discovery lags, or has begun to count from the start.

        One that lags would bring back servers removed long ago, so its list waits until discovery
        has been heard some times; meanwhile the watch stays open, as hundreds of nodes would poll
        again each time.
        """
        if update.complete:
            self._older_list = {}
        if self._older_list is not None:
            self._apply_to_older(update, self._older_list)
        self._older_version = update.version
        self.host.record_malformed(
            "versions", f"discovery has version {update.version}, {self.version} is held"
        )
        # Rule 3: what it removes may be sent nothing from now on, whatever its version.
        unavailable = [e for e in update.endpoints if e.state != EndpointState.READY]
        if unavailable:
            self.host.update_endpoints(
                self.clock.now(), EndpointUpdate.DELTA, unavailable, update.addresses
            )
        self.heartbeat_received()

    def _apply_to_older(self, update: EndpointList, listed: dict[str, ListedEndpoint]) -> None:
        for endpoint in update.endpoints:
            if endpoint.state != EndpointState.REMOVED:
                address = update.addresses[endpoint.id]
                listed[endpoint.id] = ListedEndpoint(endpoint, address)
        for endpoint in update.endpoints:
            if endpoint.state == EndpointState.REMOVED:
                listed.pop(endpoint.id, None)

    def _accept_older(self) -> None:
        """Takes over the lower version and its list."""
        listed = self._older_list
        self.version = self._older_version
        self._forget_older()
        if listed is None:  # changes alone: of which list, only the complete one tells
            self.version = 0
            raise EndpointListError("versions are counted anew")
        endpoints = [entry.endpoint for entry in listed.values()]
        addresses = {backend_id: entry.address for backend_id, entry in listed.items()}
        self.host.update_endpoints(self.clock.now(), EndpointUpdate.SNAPSHOT, endpoints, addresses)
