"""The bound on open connections, with more workers than connections."""

import asyncio

from alderreach.ops.controller import worker_connections


class Session:
    def __init__(self, name):
        self.name = name
        self.closed = 0

    def close(self):
        self.closed += 1


async def call(connections, session, may_wait=False):
    await connections.acquire(session, may_wait)
    connections.release(session)


def test_the_longest_idle_connection_is_closed_for_a_new_one():
    """Guards against a leader that runs out of files once it has called every worker.

    It sends an order to one worker after the other, with more workers than connections.
    """

    async def scenario():
        connections = worker_connections.WorkerConnections(2)
        sessions = [Session(number) for number in range(4)]
        for session in sessions:
            await call(connections, session)
        assert [session.closed for session in sessions] == [1, 1, 0, 0]
        await call(connections, sessions[2])
        await call(connections, sessions[0])
        assert [session.closed for session in sessions] == [1, 1, 0, 1]
        connections.forget(sessions[2])
        await call(connections, sessions[1])
        assert sessions[2].closed == 0

    asyncio.run(scenario())


def test_polls_wait_for_a_connection_and_orders_do_not():
    """Guards against starts that are delayed by polls which wait for ends.

    There are polls in progress to more workers than there may be connections.
    """

    async def scenario():
        connections = worker_connections.WorkerConnections(2)
        polled = [Session(number) for number in range(3)]
        polls = [
            asyncio.ensure_future(connections.acquire(session, may_wait=True))
            for session in polled
        ]
        await asyncio.sleep(0)
        assert [poll.done() for poll in polls] == [True, True, False]
        await call(connections, Session("order"))
        assert not polls[2].done()
        connections.release(polled[0])
        await asyncio.wait_for(polls[2], 10)
        assert polled[0].closed == 1

    asyncio.run(scenario())
