"""Tests for when the leader may grant a domain to another placer."""

from alderreach.core import owner_leases
from alderreach.core.generated import common, keeper

DURATIONS = owner_leases.Durations(2000, 200)
OWNER = common.Owner("d", "p1", "b1", "", "", 3)
RENEWAL = keeper.RenewOwnership("", "d", "p1", "b1", 3, False)


def grant(epoch=3, handover=False):
    return keeper.GrantOwnership("d", "p2", "b2", "", "", epoch, handover)


def may_grant(leases, now_ms, command=None, owner=OWNER):
    return owner_leases.may_grant(leases, owner, command or grant(), DURATIONS, now_ms)


def test_a_renewal_blocks_grants_for_lease_and_margin():
    leases = owner_leases.Leases(elected_ms=0)
    owner_leases.record_renewal(leases, "d", 10_000)
    assert not may_grant(leases, 12_200)
    assert may_grant(leases, 12_201)


def test_a_new_leader_waits_from_its_election():
    """The previous leader confirmed a renewal just before it crashed.

    The new leader does not know it. If it granted the domain at once, two owners would
    act at the same time.
    """
    leases = owner_leases.Leases(elected_ms=10_000)
    assert not may_grant(leases, 12_200)
    assert may_grant(leases, 12_201)


def test_no_wait_without_an_owner_or_after_a_release_or_handover():
    leases = owner_leases.Leases(elected_ms=10_000)
    assert may_grant(leases, 10_000, owner=None)
    assert may_grant(leases, 10_000, grant(handover=True))
    owner_leases.record_release(leases, RENEWAL)
    assert may_grant(leases, 10_000)
    assert not may_grant(
        leases, 10_000, owner=OWNER._replace(epoch=4), command=grant(4)
    )


def test_a_renewal_during_a_grant_or_after_its_own_release_is_refused():
    """The owner renews while the grant to its successor is logged but not committed.

    If the renewal were confirmed, both leases would be valid at the same time.
    """
    leases = owner_leases.Leases(elected_ms=0)
    assert owner_leases.may_renew(leases, OWNER, RENEWAL)
    leases.pending_grants["d"] = 7
    assert not owner_leases.may_renew(leases, OWNER, RENEWAL)
    assert not may_grant(leases, 99_999)
    leases.pending_grants.clear()
    owner_leases.record_release(leases, RENEWAL)
    assert not owner_leases.may_renew(leases, OWNER, RENEWAL)


def test_only_the_current_boot_and_epoch_can_renew():
    leases = owner_leases.Leases(elected_ms=0)
    for other in (
        RENEWAL._replace(placer="p2"),
        RENEWAL._replace(boot_id="b2"),
        RENEWAL._replace(epoch=2),
    ):
        assert not owner_leases.may_renew(leases, OWNER, other)
