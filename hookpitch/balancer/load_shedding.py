"""Load shedding. Look here when RPCs are rejected that could be served, or the wrong ones are.

Two loads are measured. The load of the fleet: `pressure` and `shed_fraction` follow the fraction of
RPCs within quota that were rejected or late in a rate window. The load of this node: `overload` is
the fraction of arrivals above the node's capacity, measured by its host. Either load sheds RPCs by
priority: methods of the lowest gain first, in bands as wide as their fraction of arrivals; RPCs
over quota are shed before all others. Fractions are from 0 to 1, times are in milliseconds.
"""

from __future__ import annotations

from typing import NamedTuple

from hookpitch.balancer.draws import DrawSequence
from hookpitch.balancer.interface import Deployment, Method
from hookpitch.balancer.quotas import Quotas
from hookpitch.balancer.rpc import Rpc

SHED_THRESHOLD = 0.2  # fraction of RPCs within quota, rejected or late, above which RPCs are shed
MAX_SHED_FRACTION = 0.9
MAX_QUEUE_FRACTION = 0.3  # of the remaining time: the longest wait in a queue
NOT_SHED = -1.0


class PriorityBand(NamedTuple):
    """The part of the range from 0 to 1 that the methods of one gain take by their arrivals."""

    start: float
    width: float


FULL_BAND = PriorityBand(0.0, 1.0)


class LoadShedder:
    """Measures overload, and decides which RPCs are rejected on arrival."""

    def __init__(self, draws: DrawSequence, quotas: Quotas) -> None:
        # The fleet's load.
        # RPCs within quota in this rate window. It starts at 1, because `update` divides by it.
        self.arrival_count = 1
        self.rejected_count = 0  # of these arrivals, rejected or answered late
        self.pressure = 0.0
        self.shed_fraction = 0.0
        # The node's own load.
        self.overload = 0.0
        self._arrival_mix: dict[str, float] = {}
        self._arrival_bands: dict[str, PriorityBand] = {}
        # Settings.
        self._methods: dict[str, Method] = {}
        self._bands: dict[str, PriorityBand] = {}  # of equal width for each method
        self._max_retry_after_ms = 0.0
        self._over_quota_gain_factor = 0.0
        self._draws = draws
        self._quotas = quotas

    def configure(self, deployment: Deployment, methods: dict[str, Method]) -> None:
        """Apply new settings; measured values stay."""
        self._methods = methods
        self._max_retry_after_ms = deployment.max_retry_after_ms
        self._over_quota_gain_factor = deployment.over_quota_gain_factor
        self._bands = self._priority_bands(dict.fromkeys(methods, 1.0))
        self._arrival_bands = self._bands
        self._arrival_mix = {name: self._arrival_mix.get(name, 0.0) for name in methods}

    # ---- the fleet's load

    def admit(self, rpc: Rpc, has_quota: bool) -> None:
        """Count an RPC, and mark it as rejected if it is shed."""
        if rpc.over_quota:
            # While few RPCs are rejected, the fleet has capacity for RPCs over quota.
            pressure = self.pressure / SHED_THRESHOLD
            admitted_fraction = self._over_quota_gain_factor + 1 - pressure
            rpc.rejected = self._draws.fraction() >= admitted_fraction
        if self.shed_fraction > 0 and not has_quota:
            band = self._bands.get(rpc.method.name, FULL_BAND)
            if band.start + band.width * self._draws.fraction() < self.shed_fraction:
                rpc.rejected = True
                # An RPC over quota counts neither as an arrival nor as a sign of an overload.
                rpc.over_quota = True
        if not rpc.over_quota:
            self.arrival_count += 1

    def record_rejected(self) -> None:
        """Count an RPC within quota that was rejected or answered late."""
        self.rejected_count += 1

    def has_low_pressure(self) -> bool:
        """Return whether so few RPCs are rejected that retrying a slow attempt does no harm."""
        return self.pressure < SHED_THRESHOLD / 2

    def update(self) -> int:
        """End a rate window, and return how many RPCs within quota arrived in it.

        If no router sends enough to fill a backend, an overload of the fleet shows only in the
        fraction of late answers.
        """
        arrivals = self.arrival_count
        rejected_fraction = self.rejected_count / arrivals
        self.arrival_count = 1
        self.rejected_count = 0
        self.pressure = max(rejected_fraction, self.pressure / 2)
        step = rejected_fraction / 4 if rejected_fraction > SHED_THRESHOLD else -SHED_THRESHOLD / 4
        self.shed_fraction = min(MAX_SHED_FRACTION, max(0.0, self.shed_fraction + step))
        return arrivals

    # ---- the node's own load

    def overload_measured(self, overload: float) -> None:
        """Store the fraction of the arrivals in a window that is above the node's capacity."""
        self.overload = overload
        if overload > 0 and any(self._arrival_mix.values()):
            self._arrival_bands = self._priority_bands(self._arrival_mix)
        for name in self._arrival_mix:
            self._arrival_mix[name] *= 0.9

    def shed_delay(self, now: float, method_name: str, tenant: str, age_ms: float) -> float:
        """Return the ms after which a client may retry an RPC; below 0 if the RPC is admitted.

        The host calls this before it spends any work on the RPC. RPCs over quota, RPCs that are
        already too late and those of the lowest gain are shed first.
        """
        method = self._methods.get(method_name)
        if method is None:
            return NOT_SHED
        self._arrival_mix[method_name] += 1
        if self.overload <= 0:
            return NOT_SHED
        token_bucket = self._quotas.token_buckets.get(tenant)
        over_quota = token_bucket is not None and token_bucket.is_exhausted(now)
        too_late = method.late_gain <= 0 and age_ms > (1 - MAX_QUEUE_FRACTION) * method.soft_ms
        if not over_quota and not too_late:
            band = self._arrival_bands[method_name]
            if band.start + band.width * self._draws.fraction() >= self.overload:
                return NOT_SHED
        return self.retry_after_ms(method) if self._max_retry_after_ms > 0 else 0.0

    def retry_after_ms(self, method: Method) -> float:
        """Draw the ms after which a client may retry; the random part spreads the retries."""
        max_delay_ms = min(self._max_retry_after_ms, method.soft_ms)
        return max_delay_ms * (0.5 + self._draws.fraction() / 2)

    def _priority_bands(self, mix: dict[str, float]) -> dict[str, PriorityBand]:
        """Return the band of each method in `mix`, in the order of rising gain."""
        bands: dict[str, PriorityBand] = {}
        start = 0.0
        for gain in sorted({method.gain for method in self._methods.values()}):
            method_names = [name for name in mix if self._methods[name].gain == gain]
            width = sum(mix[name] for name in method_names) / sum(mix.values())
            bands |= dict.fromkeys(method_names, PriorityBand(start, width))
            start += width
        return bands
