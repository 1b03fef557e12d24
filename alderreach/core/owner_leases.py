"""The leader's memory of owners' renewals: when a domain may get another owner.

Renewals are not logged. An owner acts at most ``owner_lease_ms`` after it sent a
renewal that was confirmed. The leader counts ``owner_lease_ms`` + ``lease_margin_ms``
from when it received the last one, which was later, before it lets another have the
domain. A new leader does not know what its predecessor confirmed; but that needed a
majority's answers, and one of those voters voted for the new leader afterwards. So all
such renewals were sent before the election, from which the new leader counts.
"""

import typing


class Durations(typing.NamedTuple):
    """The settings of the same names; equal in the whole cell."""

    owner_lease_ms: int
    lease_margin_ms: int


class Leases:
    """What one leader remembers; begun anew with each election.

    ``last_renewal_ms`` maps a domain to when its owner's last renewal came, ``released_epochs`` to
    the epoch that was handed back, ``pending_grants`` to the log index of a grant under way.
    """

    def __init__(self, elected_ms):
        self.elected_ms = elected_ms
        self.last_renewal_ms = {}
        self.released_epochs = {}
        self.pending_grants = {}


def may_renew(leases, owner, renewal):
    """Whether a renewal comes from the owner in force, with no successor under way.

    A grant in the log may be applied before the renewal is confirmed. A renewal that
    crosses its own owner's release must not revive the lease.
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
    """Note that a renewal came, before it is confirmed."""
    leases.last_renewal_ms[failure_domain] = now_ms


def record_release(leases, renewal):
    """Note that the owner stopped acting and handed its epoch back."""
    leases.released_epochs[renewal.failure_domain] = renewal.epoch


def may_grant(leases, owner, command, durations, now_ms):
    """Whether a grant may be logged now.

    One that expects another epoch than the one in force may: applied, it changes
    nothing and names the owner.
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
