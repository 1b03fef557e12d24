"""What customers may start beside what they have running; for whom room is saved."""

import types

from alderreach.core import cell_state
from alderreach.core.generated import cell, common
from alderreach.decisions.cell import customers

CAP_MILLIS = 10_000


def make_customers(*caps_millis):
    """Customers ``c0``, ``c1``, ... with these caps; 0 is no limit."""
    made = customers.Customers()
    made.configure(configuration(*caps_millis))
    return made


def configuration(*caps_millis):
    configured = [
        cell.CustomerConfig(
            f"c{n}", [f"key-{n}".encode()], 0, 1, common.Resources(cap, 0, 0)
        )
        for n, cap in enumerate(caps_millis)
    ]
    return cell.CellConfig(1, [], [], b"", configured)


def step(tasks, cpu_millis, **options):
    demand = common.Resources(cpu_millis, 100, 0)
    plain = cell.Step(tasks, demand, 500, [], *cell_state.NO_STEP_OPTIONS)
    return plain._replace(**options)


def claim(tasks, cpu_millis, is_urgent=False, **options):
    return customers.Claim("c0", step(tasks, cpu_millis, **options), is_urgent)


def start(made, cpu_millis, is_long=False, may_yield=False):
    """Charge a run, and return it for its refund."""
    demand = common.Resources(cpu_millis, 100, 0)
    run = types.SimpleNamespace(customer="c0", demand=demand, is_long=is_long)
    run.may_yield = may_yield
    made.charge(None, types.SimpleNamespace(**vars(run)))
    return run


def test_a_step_wider_than_the_cap_goes_in_waves():
    made = make_customers(CAP_MILLIS)
    wide = claim(25, 1000)
    assert made.room(wide) == 10
    start(made, 7000)
    assert made.room(wide) == 3


def test_a_gang_fits_whole_or_not_at_all():
    made = make_customers(CAP_MILLIS)
    assert made.room(claim(10, 1000, gang=True)) == 10
    assert made.room(claim(11, 1000, gang=True)) == 0


def test_no_limit_and_no_customer():
    made = make_customers(0)
    assert made.room(claim(25, 10**9)) == 25
    nobody = customers.Claim("", step(25, 10**9), False)
    assert made.room(nobody) == 25


def test_the_quick_check_for_room_agrees_with_the_room():
    """Guards against steps that are set aside with room, or visited without."""
    for cap in (0, CAP_MILLIS):
        made = make_customers(cap)
        gang = claim(8, 1000, gang=True)
        for _start in range(6):
            for each in (claim(1, 0), claim(3, 2500), claim(1, 20_000), gang):
                assert made.has_room(each) == (made.room(each) > 0)
            start(made, 2000)
            made.wait(gang, 0)
            made.wait(gang, customers.SAVE_AFTER_MS)


def test_a_cap_below_the_use_starts_nothing():
    made = make_customers(CAP_MILLIS)
    start(made, 8000)
    made.configure(configuration(4000))
    assert made.room(claim(1, 1000)) == 0
    assert made.room(claim(1, 0)) == 0


def test_a_customer_that_is_gone_keeps_its_last_cap_and_loses_its_keys():
    made = make_customers(CAP_MILLIS)
    assert made.identify(b"key-0") == "c0"
    made.configure(configuration())
    assert made.identify(b"key-0") is None
    assert made.room(claim(25, 1000)) == 10


def test_room_is_saved_for_a_gang_that_waits():
    made = make_customers(CAP_MILLIS)
    start(made, 8000)
    gang, small = claim(8, 1000, gang=True), claim(9, 1000)
    made.wait(gang, 0)
    assert made.room(small) == 2
    made.wait(gang, customers.SAVE_AFTER_MS)
    assert made.room(small) == 0
    assert made.room(claim(9, 1000, is_urgent=True)) == 2


def test_a_saving_lets_other_steps_use_half_of_the_cap_after_a_while_and_then_ends():
    """Guards against work that stands still beside a cap that is half free."""
    made = make_customers(CAP_MILLIS)
    start(made, 3000)
    gang, small = claim(8, 1000, gang=True), claim(9, 1000)
    made.wait(gang, 0)
    now_ms = customers.SAVE_AFTER_MS
    made.wait(gang, now_ms)
    made.expire_savings(now_ms)
    assert made.room(small) == 0
    made.expire_savings(now_ms + customers.EXCLUSIVE_SAVING_MS)
    assert "c0" in made.pop_eased()
    assert made.room(small) == 2
    made.expire_savings(now_ms + customers.MAX_SAVING_MS)
    assert "c0" in made.pop_eased()
    assert made.room(small) == 7


def test_the_customers_nearest_to_their_caps():
    made = make_customers(CAP_MILLIS, 5000, 0)
    start(made, 8000)
    assert made.cap_shares(2) == {"c0": 0.8, "c1": 0.0}
