"""The order in which orders to one worker are sent, and on how many lanes."""

from alderreach.core import orders
from alderreach.ops.controller import order_lanes


def start(index):
    return orders.Start(f"j1.0.0.{index}", 1, "run", 1000, 7, "", "")


def stop(index):
    return orders.Stop(f"j1.0.0.{index}", 1, 7)


def lanes_with(*added):
    lanes = order_lanes.OrderLanes()
    for order in added:
        lanes.add(order)
    return lanes


def test_starts_are_sent_one_at_a_time():
    """Guards against a crash that is blamed on the wrong one of several starts."""
    lanes = lanes_with(start(1), start(2))
    assert lanes.take() == [(0, start(1))]
    lanes.mark_slow(0)
    lanes.add(stop(3))
    assert lanes.take() == [(1, stop(3))]
    lanes.finish(1)
    assert not lanes.take()
    lanes.finish(0)
    assert lanes.take() == [(0, start(2))]


def test_a_stop_overtakes_starts_and_replaces_that_of_its_run():
    """Guards against a start that is sent seconds after its run was given up."""
    lanes = lanes_with(start(1), start(2), start(3), stop(2))
    assert lanes.waiting() == [stop(2), start(1), start(3)]


def test_a_withdrawn_start_is_not_sent():
    """Guards against a start that is sent seconds after its run has ended."""
    lanes = lanes_with(start(1), start(2), start(3))
    lanes.withdraw(start(2).task, 2)
    assert lanes.waiting() == [start(1), start(2), start(3)]
    lanes.withdraw(start(2).task, 1)
    assert lanes.waiting() == [start(1), start(3)]


def test_a_stop_that_waits_or_is_in_progress_is_not_sent_twice():
    """Guards against stops of unknown runs that pile up with each list of them."""
    lanes = lanes_with(stop(1), stop(2), stop(2))
    assert lanes.take() == [(0, stop(1))]
    lanes.add(stop(1))
    assert lanes.waiting() == [stop(2)]


def test_a_lane_is_opened_only_while_all_others_are_slow():
    """Guards against connections to a worker that answers."""
    lanes = lanes_with(*map(stop, range(20)))
    assert lanes.take() == [(0, stop(0))]
    assert not lanes.take()
    for lane in range(1, order_lanes.MAX_LANES):
        lanes.mark_slow(lane - 1)
        assert lanes.take() == [(lane, stop(lane))]
        assert not lanes.take()
    lanes.mark_slow(order_lanes.MAX_LANES - 1)
    assert not lanes.take()
    lanes.finish(3)
    assert lanes.take() == [(3, stop(order_lanes.MAX_LANES))]


def test_starts_go_beside_a_slow_order_that_was_overtaken():
    """Guards against starts that wait for the timeout of an order that was lost."""
    lanes = lanes_with(start(1), start(2), start(3))
    (first,) = lanes.take()
    assert not lanes.slow_orders()
    lanes.overtake(first[1])
    assert not lanes.take()
    lanes.mark_slow(0)
    assert lanes.slow_orders() == [start(1)]
    lanes.overtake(first[1])
    assert not lanes.slow_orders()
    assert lanes.take() == [(1, start(2))]
    lanes.mark_slow(1)
    assert not lanes.take()


def test_a_repeated_start_goes_before_those_that_were_not_sent():
    """Guards against a lost start that is repeated behind all that came after it."""
    lanes = lanes_with(start(1), start(2))
    (first,) = lanes.take()
    lanes.mark_slow(0)
    lanes.overtake(first[1])
    lanes.add(start(1))
    assert lanes.waiting() == [start(1), start(2)]


def test_an_order_that_supersedes_others_goes_beside_them():
    """Guards against a poll that waits for the timeout of one that was lost."""
    lanes = lanes_with("first")
    lanes.take()
    for lane in range(1, order_lanes.MAX_LANES):
        lanes.supersede()
        lanes.add(lane)
        assert lanes.take() == [(lane, lane)]
    lanes.supersede()
    lanes.add("one too many")
    assert not lanes.take()


def test_a_worker_that_answers_again_gets_one_order_at_a_time():
    """Guards against connections that are made to a worker long after it has hung."""
    lanes = lanes_with(stop(1), stop(2))
    lanes.take()
    lanes.mark_slow(0)
    assert lanes.take() == [(1, stop(2))]
    lanes.finish(0)
    lanes.finish(1)
    for index in (3, 4):
        lanes.add(stop(index))
    assert lanes.take() == [(0, stop(3))]


def pace(index, percent):
    return orders.Pace(f"j1.0.0.{index}", 1, percent, 7)


def test_a_pace_replaces_those_of_its_run_that_wait():
    """Guards against a share that is set seconds late, behind those set before it."""
    lanes = lanes_with(start(9), pace(1, 100), pace(2, 50), pace(1, 0), pace(1, 25))
    assert lanes.waiting() == [start(9), pace(2, 50), pace(1, 25)]


def test_a_stop_replaces_the_paces_of_its_run_that_wait():
    """Guards against starts that wait behind orders for runs that are over."""
    lanes = lanes_with(start(9), pace(1, 50), pace(2, 50), stop(1))
    assert lanes.waiting() == [stop(1), start(9), pace(2, 50)]
