"""A task handles messages in order and is ticked when it asked to be."""

import threading

from alderreach.utils import clocks, tasks


def test_messages_are_handled_and_answered_in_order():
    seen = []

    def handle(message):
        number, ticket = message
        seen.append(number)
        ticket.answer(number * 2)

    task = tasks.Task("test", handle, lambda: None, clocks.SYSTEM).start()
    tickets = [tasks.Ticket() for _ in range(3)]
    for number, ticket in enumerate(tickets):
        task.put((number, ticket))
    assert [ticket.wait(10_000) for ticket in tickets] == [0, 2, 4]
    assert seen == [0, 1, 2]
    task.close()


def test_a_message_brings_a_distant_tick_forward():
    """A request is answered long after its deadline.

    The task sleeps until a distant deadline, and a message sets an earlier one. If the
    task still slept until the distant one, it would miss the earlier one.
    """
    ticks, ticked_again = [], threading.Event()

    def tick():
        ticks.append(1)
        if len(ticks) == 2:
            ticked_again.set()
        return 3_600_000

    task = tasks.Task("test", lambda message: None, tick, clocks.SYSTEM).start()
    task.put("nearer deadline")
    assert ticked_again.wait(10)
    task.close()


def test_an_exception_ends_the_process():
    ended = threading.Event()

    def handle(_mail):
        raise ValueError("half done")

    task = tasks.Task(
        "test", handle, lambda: None, clocks.SYSTEM, on_fault=ended.set
    ).start()
    task.put("x")
    assert ended.wait(10)


def test_a_thread_that_fails_is_followed_by_its_fault_handler():
    """Guards against a process that continues without one of its threads."""
    ended = threading.Event()

    def fail():
        raise LookupError("no such queue")

    tasks.make_thread("test", fail, ended.set).start()
    assert ended.wait(timeout=10)
