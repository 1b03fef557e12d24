"""The leader's record of ownership renewals: when a domain may get another owner.

Renewals are not logged. An owner acts for at most ``owner_lease_ms`` after it sent a
renewal that was confirmed. The leader waits ``owner_lease_ms`` + ``lease_margin_ms``
after it received the last renewal, which is later than the sending, before it grants
the domain to another placer. A new leader does not know which renewals its predecessor
confirmed. But each confirmation needed the answers of a majority, and at least one of
those voters voted for the new leader afterwards. All such renewals were therefore sent
before the election, and the new leader waits from its election.
"""

import typing


class Durations(typing.NamedTuple):
    """The settings of the same names, which are equal in the whole cell."""

    owner_lease_ms: int
    lease_margin_ms: int


class Leases:
    """The renewals known to one leader; reset with each election.

    Each attribute maps failure domains: ``last_renewal_ms`` to the time at which the
    owner's last renewal arrived, ``released_epochs`` to the epoch that was released,
    and ``pending_grants`` to the log index of a grant that is not applied yet.
    """

    def __init__(self, elected_ms):
        self.elected_ms = elected_ms
        self.last_renewal_ms = {}
        self.released_epochs = {}
        self.pending_grants = {}


def may_renew(leases, owner, renewal):
    """Whether a renewal comes from the current owner and no grant is pending.

    A logged grant may be applied before the renewal is confirmed. A renewal that
    arrives after its own owner's release must not revive the lease.
    """
    domain = renewal.failure_domain
    return (
        owner is not None
        and (owner.placer, owner.boot_id) == (renewal.placer, renewal.boot_id)
        and owner.epoch == renewal.epoch
        and domain not in leases.pending_grants
        and leases.released_epochs.get(domain) != renewal.epoch
    )


def record_renewal(leases, failure_domain, now_ms):
    """Record the arrival of a renewal, before it is confirmed."""
    leases.last_renewal_ms[failure_domain] = now_ms


def record_release(leases, renewal):
    """Record that the owner stopped acting and released its epoch."""
    leases.released_epochs[renewal.failure_domain] = renewal.epoch


def may_grant(leases, owner, command, durations, now_ms):
    """Whether a grant may be logged now.

    A grant that expects another epoch than the current one may be logged: applying it
    changes nothing and returns the current owner.
    """
    domain = command.failure_domain
    if domain in leases.pending_grants:
        return False
    if owner is None or command.handover or owner.epoch != command.expected_epoch:
        return True
    if leases.released_epochs.get(domain) == owner.epoch:
        return True
    last_ms = max(
        leases.elected_ms, leases.last_renewal_ms.get(domain, leases.elected_ms)
    )
    wait_ms = durations.owner_lease_ms + durations.lease_margin_ms
    return now_ms - last_ms > wait_ms
