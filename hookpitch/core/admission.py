"""Adaptive admission control: which part of the incoming RPCs this node can serve.

RPCs that the node has not read yet wait in the kernel, where no deadline is checked. The controller
bounds that wait (the age of an RPC when it is read, and how late the event loop runs its timers) to
a fraction of the shortest soft deadline by adapting an admission rate, once per window:

- a mean wait above the target lowers the rate in proportion, starting from what was admitted; a
  window without arrivals measures no rate and lowers none;
- the rate never falls so far that rejecting takes most of the CPU time, which alone can keep the
  wait above the target, and never below `MIN_ADMITTED_PER_WINDOW`, from which it can still grow;
- a mean wait within the target raises the rate by `RATE_GROWTH`, and a rate that is well above the
  arrivals is dropped.

The fraction of the arrivals above the rate is `shed_fraction`; the router chooses which RPCs are
shed. Only the measured wait sets the rate, so no setting describes the machine.

A pause of the process (stopped, or its core taken away) is no overload: what was queued meanwhile
is old for that reason alone, and such windows are not measured.

Times are in milliseconds. Invariants: 0 <= shed_fraction <= MAX_SHED_FRACTION; without a rate
nothing is shed; whatever was measured before, windows within the target end the shedding.
"""

from __future__ import annotations

UNLIMITED = float("inf")
TARGET_WAIT_FRACTION = 0.4  # of the shortest soft deadline: the mean wait that is accepted
WINDOWS_PER_SOFT_DEADLINE = 4
RATE_GROWTH = 1.15  # factor per window within the target: from a tenth to all in 17 windows
DROP_RATE_FACTOR = 1.3  # a rate above this multiple of the arrivals limits nothing
MIN_ADMITTED_PER_WINDOW = 1.0  # RPCs: a rate of 0 would stay 0, as it grows by a factor
MIN_STEP = 0.6  # one window lowers the rate to at least this fraction of what was admitted
MAX_STEP = 0.97  # one window lowers the rate to at most this fraction of what was admitted
MIN_USEFUL_CPU_FRACTION = 0.6  # of the CPU time used: the part left to admitted RPCs, at the least
# Above this multiple of the target wait that part shrinks, because the RPCs that would be admitted
# in addition are too late by the time they are read.
LONG_WAIT_FACTOR = 1.25
MIN_COST_SAMPLE = 8  # RPCs in a window whose CPU time is taken as a measure of one RPC
COST_SMOOTHING = 0.2  # weight of the newest window in the CPU time of one RPC
ARRIVALS_SMOOTHING = 0.5  # weight of the newest window in the arrival rate
MAX_SHED_FRACTION = 0.98  # some RPCs are always admitted, or nothing would be measured
PAUSE_FACTOR = 1.0  # times the target wait: a loop this late that used little CPU time was paused
WINDOWS_AFTER_PAUSE = 2  # not measured: the window of the pause, and that which reads the backlog


class Admission:
    """The admission controller of one node, fed by the host with arrivals and window ends."""

    __slots__ = (
        "target_wait_ms",
        "window_ms",
        "admitted_per_ms",
        "cpu_ms_per_rpc",
        "shed_fraction",
        "arrivals_per_ms",
        "mean_wait_ms",
        "_window_started",
        "_arrived",
        "_admitted",
        "_total_wait_ms",
        "_windows_to_skip",
        "_cpu_ms",
    )

    def __init__(self, now: float, soft_ms: float) -> None:
        """Start without a rate limit; `soft_ms` is the shortest soft deadline."""
        self.set_soft_deadline(soft_ms)
        self.admitted_per_ms = UNLIMITED
        self.shed_fraction = 0.0
        self.cpu_ms_per_rpc = 0.0  # of an admitted RPC, measured while nothing is rejected
        self.arrivals_per_ms = 0.0
        self.mean_wait_ms = 0.0  # in the last measured window
        self._window_started = now
        self._arrived = 0
        self._admitted = 0
        self._total_wait_ms = 0.0
        self._windows_to_skip = 0
        self._cpu_ms = 0.0

    @property
    def pause_threshold_ms(self) -> float:
        """How late the event loop has to be for `detect_pause` to consider a pause."""
        return PAUSE_FACTOR * self.target_wait_ms

    def set_soft_deadline(self, soft_ms: float) -> None:
        """Use another shortest soft deadline; the rate and all measurements stay."""
        self.target_wait_ms = TARGET_WAIT_FRACTION * soft_ms
        self.window_ms = soft_ms / WINDOWS_PER_SOFT_DEADLINE

    def record_arrival(self, wait_ms: float) -> None:
        """Count an RPC that had waited for `wait_ms` when it was read, as admitted."""
        self._arrived += 1
        self._admitted += 1
        self._total_wait_ms += wait_ms

    def record_rejected(self) -> None:
        """Count the RPC recorded last as rejected."""
        self._admitted -= 1

    def detect_pause(self, late_ms: float, cpu_ms: float) -> bool:
        """Return whether the process was paused; if so, skip the windows that it falsifies.

        `late_ms`: how late the event loop runs its timers; `cpu_ms`: CPU time it used since the
        last window. A loop that is late because of work has used the CPU, and is overloaded.
        """
        paused = late_ms > self.pause_threshold_ms and cpu_ms < late_ms / 2
        if paused:
            self._windows_to_skip = WINDOWS_AFTER_PAUSE
        return paused

    def end_window(self, now: float, late_ms: float, cpu_ms: float) -> None:
        """Measure the window that ends, and adapt the rate.

        `late_ms`: how late its end was seen; `cpu_ms`: CPU time used since the process started.
        """
        span_ms = max(now - self._window_started, 1.0)
        used_cpu_ms = cpu_ms - self._cpu_ms
        arrived = self._arrived
        admitted = self._admitted
        total_wait_ms = self._total_wait_ms
        self._window_started = now
        self._cpu_ms = cpu_ms
        self._arrived = 0
        self._admitted = 0
        self._total_wait_ms = 0.0
        if self._windows_to_skip:
            self._windows_to_skip -= 1
            return
        self.arrivals_per_ms += (arrived / span_ms - self.arrivals_per_ms) * ARRIVALS_SMOOTHING
        self.mean_wait_ms = (total_wait_ms + late_ms) / (arrived + 1)
        if arrived == admitted >= MIN_COST_SAMPLE:
            smoothing = COST_SMOOTHING if self.cpu_ms_per_rpc else 1.0
            self.cpu_ms_per_rpc += (used_cpu_ms / admitted - self.cpu_ms_per_rpc) * smoothing
        if self.mean_wait_ms > self.target_wait_ms and arrived:
            self._lower_rate(admitted, span_ms, used_cpu_ms)
        elif self.mean_wait_ms <= self.target_wait_ms and self.admitted_per_ms < UNLIMITED:
            self._raise_rate(nothing_rejected=arrived == admitted)
        self.shed_fraction = self._fraction_above_rate()

    @property
    def _min_rate(self) -> float:
        return MIN_ADMITTED_PER_WINDOW / self.window_ms

    def _lower_rate(self, admitted: int, span_ms: float, used_cpu_ms: float) -> None:
        # Clients that retry at once fill the wait whatever is admitted. Without a floor the rate
        # would fall until the core does nothing but reject.
        useful = MIN_USEFUL_CPU_FRACTION * min(
            1.0, LONG_WAIT_FACTOR * self.target_wait_ms / self.mean_wait_ms
        )
        floor = self._min_rate
        if self.cpu_ms_per_rpc > 0:
            floor = max(floor, useful * used_cpu_ms / span_ms / self.cpu_ms_per_rpc)
        step = max(MIN_STEP, min(MAX_STEP, self.target_wait_ms / self.mean_wait_ms))
        self.admitted_per_ms = max(floor, min(self.admitted_per_ms, admitted / span_ms) * step)

    def _raise_rate(self, nothing_rejected: bool) -> None:
        self.admitted_per_ms = RATE_GROWTH * max(self._min_rate, self.admitted_per_ms)
        # A rate that rejected something was a limit, even where it is above the mean arrivals.
        if nothing_rejected and self.admitted_per_ms > DROP_RATE_FACTOR * self.arrivals_per_ms:
            self.admitted_per_ms = UNLIMITED

    def _fraction_above_rate(self) -> float:
        if self.arrivals_per_ms <= 0:
            return 0.0
        above = max(0.0, 1 - self.admitted_per_ms / self.arrivals_per_ms)
        return min(MAX_SHED_FRACTION, above)
