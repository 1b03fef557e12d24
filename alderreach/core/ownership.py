"""Ownership of a failure domain: which placer may command its targets, until when.

This is a pure state machine: messages and the time are its inputs, messages its output.
The owner may act while the lease from the keepers or the promises of all its standbys
are valid. Both count from the time at which the owner *sent* the message that was
answered. A standby that gave a promise waits ``owner_lease_ms + lease_margin_ms`` from
*receiving* the beat before it requests ownership. It also waits that long before it
acts on a grant, since a grant that it requested earlier may be appended late. Clock
rates that differ by 1% change a lease of 2,000 ms by 20 ms; the margin of 200 ms covers
that and the resolution of the clock readings.

>>> state = Ownership(me, ["placer-b-2"], timing, now_ms=0)  # doctest: +SKIP
>>> state.may_act(now_ms=10)  # doctest: +SKIP
False
"""

import typing

from alderreach.core.generated import keeper, placer

GRANT_RETRY_DIVISOR = 4
MIN_GRANT_PAUSE_MS = 20


class Lease(typing.NamedTuple):
    """An immutable lease, which senders check right before sending each command."""

    epoch: int
    until_ms: int

    def covers(self, epoch, now_ms):
        """Whether commands of ``epoch`` may be sent now."""
        return epoch == self.epoch and now_ms < self.until_ms


NO_LEASE = Lease(0, 0)


class Ownership:
    """The ownership state of one placer; ``me`` is its Owner with epoch 0.

    ``lease`` is never modified but replaced, so that other threads may read it.
    """

    def __init__(self, me, standbys, timing, now_ms):
        self.me = me
        self.owner = None
        self.epoch = 0
        self.is_owner = False
        self.lease = NO_LEASE
        self.released_epoch = 0
        self._timing = timing
        self._standbys = tuple(standbys)
        self._wait_ms = timing.owner_lease_ms + timing.lease_margin_ms
        self._keeper_until_ms = 0
        self._standby_promises_until_ms = dict.fromkeys(self._standbys, 0)
        self._renewals = {}
        self._next_grant_ms = 0
        # A restarted standby does not know its earlier promises, so it behaves as if it
        # gave one at startup. Otherwise a partitioned owner that still relies on a
        # promise from the previous boot could act at the same time.
        self._own_promise_until_ms = now_ms + self._wait_ms

    def may_act(self, now_ms):
        """Whether commands may be sent and announcements answered now."""
        return self.is_owner and now_ms < self.lease.until_ms

    def active_standbys(self, now_ms):
        """Return the standbys whose promise is still valid."""
        promised = self._standby_promises_until_ms
        return [name for name in self._standbys if now_ms < promised[name]]

    def observe(self, owner):
        """Update the known owner from an item, a renewal or a grant.

        Returns True if this placer was the owner until now.
        """
        if owner is None or owner.epoch <= self.epoch:
            return False
        self.owner, self.epoch = owner, owner.epoch
        is_own = self._is_me(owner)
        deposed = self.is_owner
        self.is_owner = is_own and owner.epoch > self.released_epoch
        self._reset_leases()
        return deposed

    def observe_epoch(self, epoch):
        """Stop acting if a target or peer has seen a higher epoch; True if it did."""
        if epoch > self.epoch and self.is_owner:
            self.is_owner = False
            self._reset_leases()
            return True
        return False

    def next_renewal(self, request_id, now_ms):
        """Return the renewal to send to the keepers now, or None if not the owner."""
        if not self.is_owner:
            return None
        stale_ms = now_ms - self._timing.owner_lease_ms
        self._renewals = {k: t for k, t in self._renewals.items() if t > stale_ms}
        self._renewals[request_id] = now_ms
        me = self.me
        return keeper.RenewOwnership(
            request_id, me.failure_domain, me.placer, me.boot_id, self.epoch, False
        )

    def handle_renewal_reply(self, reply, now_ms):
        """Apply an OwnershipRenewed; True if it shows that ownership was lost."""
        sent_ms = self._renewals.get(reply.request_id)
        if self.observe(reply.owner):
            return True
        if reply.granted and sent_ms is not None and self.is_owner:
            lease_ms = min(reply.lease_ms, self._timing.owner_lease_ms)
            self._keeper_until_ms = max(self._keeper_until_ms, sent_ms + lease_ms)
            self._publish_lease(now_ms)
        return False

    def handle_promise(self, standby, promise, now_ms):
        """Extend the lease by a StandbyPromise of ``standby``."""
        is_own = self.is_owner and promise.epoch == self.epoch
        if not is_own or standby not in self._standby_promises_until_ms:
            return
        length_ms = min(promise.promise_ms, self._timing.owner_lease_ms)
        until_ms = promise.sent_monotonic_ms + length_ms
        before_ms = self._standby_promises_until_ms[standby]
        self._standby_promises_until_ms[standby] = max(before_ms, until_ms)
        self._publish_lease(now_ms)

    def handle_beat(self, beat, record_sequence, now_ms):
        """Handle an owner's beat; returns the promise to send, or None.

        A beat of an older epoch gets no promise, since its sender is no longer the
        owner. A handover releases this standby from its promise to that epoch for good.
        """
        if beat.epoch < self.epoch or beat.epoch <= self.released_epoch:
            return None
        if self.is_owner and not self.observe_epoch(beat.epoch):
            return None
        if beat.handover:
            self.released_epoch = beat.epoch
            self._own_promise_until_ms = now_ms
            self._next_grant_ms = 0
            return None
        self._own_promise_until_ms = now_ms + self._wait_ms
        return placer.StandbyPromise(
            beat.failure_domain,
            beat.epoch,
            beat.sent_monotonic_ms,
            record_sequence,
            self._timing.owner_lease_ms,
        )

    def next_grant_request(self, now_ms):
        """Return the GrantOwnership to send now, or None.

        If the domain never had an owner (epoch 0) there is no wait: the grant succeeds
        only if there is still none, so no other placer can be acting.
        """
        is_bound = self.epoch > 0 and now_ms < self._own_promise_until_ms
        if self.is_owner or is_bound or now_ms < self._next_grant_ms:
            return None
        pause_ms = max(
            MIN_GRANT_PAUSE_MS, self._timing.owner_beat_ms // GRANT_RETRY_DIVISOR
        )
        self._next_grant_ms = now_ms + pause_ms
        me = self.me
        return keeper.GrantOwnership(
            me.failure_domain,
            me.placer,
            me.boot_id,
            me.peer_address,
            me.target_address,
            self.epoch,
            self.epoch > 0 and self.released_epoch == self.epoch,
        )

    def grant_delay_ms(self, now_ms, max_delay_ms):
        """Return the time until the next possible grant, at most ``max_delay_ms``."""
        next_ms = max(self._own_promise_until_ms, self._next_grant_ms)
        return min(max(next_ms - now_ms, MIN_GRANT_PAUSE_MS), max_delay_ms)

    def hand_over(self):
        """Stop acting in this epoch for good; True if this placer was the owner."""
        was_owner = self.is_owner
        self.is_owner = False
        self.released_epoch = self.epoch
        self._reset_leases()
        return was_owner

    def release_message(self, request_id):
        """Return the message that ends the keepers' lease after ``hand_over``."""
        me = self.me
        return keeper.RenewOwnership(
            request_id, me.failure_domain, me.placer, me.boot_id, self.epoch, True
        )

    def _is_me(self, owner):
        return (owner.placer, owner.boot_id) == (self.me.placer, self.me.boot_id)

    def _reset_leases(self):
        self._keeper_until_ms = 0
        self._standby_promises_until_ms = dict.fromkeys(self._standbys, 0)
        self._renewals = {}
        self.lease = NO_LEASE

    def _publish_lease(self, now_ms):
        """Publish the later of both leases, unless this placer's own promise holds."""
        if now_ms < self._own_promise_until_ms and self.epoch > 1:
            return
        promises = self._standby_promises_until_ms.values()
        until_ms = max(self._keeper_until_ms, min(promises, default=0))
        self.lease = Lease(self.epoch, until_ms)
