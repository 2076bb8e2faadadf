"""Tenants' quotas. Look here when a tenant is rejected below its quota, or served above it.

State: one token bucket for each tenant with a quota; a token is one RPC. A quota holds for all
nodes together, so each router gets the quota divided by the number of nodes and by the number of
processes that share this node's part. Rates are RPCs per millisecond. Settings and process counts
may change: tokens are carried over.
"""

from __future__ import annotations

from hookpitch.balancer.interface import Tenant
from hookpitch.balancer.rpc import Rpc

REFILL_WINDOW_MS = 2500.0
# RPCs that may be saved up, however small this router's part of the quota is. With hundreds of
# nodes that part is below one RPC per window; without this minimum, the bucket would never hold a
# whole token, and every RPC would be over quota.
MIN_BURST_RPCS = 12.0


class TokenBucket:
    """The RPCs that a tenant may still send through this router."""

    __slots__ = ("capacity", "refilled_at", "rate", "tokens")

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.capacity = rate * REFILL_WINDOW_MS / 5 + MIN_BURST_RPCS
        self.tokens = MIN_BURST_RPCS / 4
        self.refilled_at = now

    def is_exhausted(self, now: float) -> bool:
        """Refill the bucket, and return whether it holds less than one token."""
        self.tokens = min(self.capacity, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        return self.tokens < 1


class Quotas:
    """The token buckets of all tenants."""

    __slots__ = ("_nodes", "_tenants", "process_share", "token_buckets")

    def __init__(self) -> None:
        self.process_share = 1.0  # this process's fraction of the node's quotas and budgets
        self.token_buckets: dict[str, TokenBucket] = {}
        self._tenants: tuple[Tenant, ...] = ()
        self._nodes = 1

    def configure(self, tenants: tuple[Tenant, ...], nodes: int) -> None:
        """Store new settings, which take effect with the next `set_process_share`."""
        self._tenants = tenants
        self._nodes = nodes

    def set_process_share(self, now: float, process_share: float) -> None:
        """Rebuild the token buckets; tenants that remain keep their tokens."""
        self.process_share = process_share
        previous = self.token_buckets
        rate = process_share / 1000 / self._nodes  # for a quota of one RPC per second
        self.token_buckets = {
            tenant.name: TokenBucket(tenant.quota_per_s * rate, now)
            for tenant in self._tenants
            if tenant.quota_per_s > 0
        }
        for name, token_bucket in self.token_buckets.items():
            if name in previous:
                previous[name].is_exhausted(now)
                token_bucket.tokens = min(token_bucket.capacity, previous[name].tokens)

    def charge(self, rpc: Rpc, tenant: str, now: float) -> bool:
        """Take a token for an RPC, or mark the RPC as over quota.

        Returns False if the tenant has no quota.
        """
        token_bucket = self.token_buckets.get(tenant)
        if token_bucket is None:
            return False
        if token_bucket.is_exhausted(now):
            rpc.over_quota = True
        else:
            token_bucket.tokens -= 1
            rpc.token_bucket = token_bucket
        return True
