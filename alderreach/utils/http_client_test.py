"""Requests on the event loop to a listener whose answers each test sets."""

import asyncio
import contextlib
import socket
import threading

import pytest

from alderreach.utils import http_client

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
TIMEOUT_S = 10
CONNECTIONS = 300


async def listen(stack, answers):
    """Start a listener that sends the next of ``answers`` to each request.

    For None it closes the connection without an answer. Returns its address and a list
    that gets a pair for each request: the number of its connection, and its head.
    """
    seen = []
    connections = []

    async def serve(reader, writer):
        number = len(connections)
        connections.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while answers:
                head = await reader.readuntil(b"\r\n\r\n")
                seen.append((number, head.decode()))
                answer = answers.pop(0)
                if answer is None:
                    break
                await reader.readexactly(2)
                writer.write(answer)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    stack.callback(server.close)
    port = server.sockets[0].getsockname()[1]
    return f"127.0.0.1:{port}", seen


def run_scenario(scenario):
    async def run():
        with contextlib.ExitStack() as stack:
            return await asyncio.wait_for(scenario(stack), TIMEOUT_S)

    return asyncio.run(run())


def test_successive_requests_share_a_connection():
    async def scenario(stack):
        address, seen = await listen(stack, [OK, OK])
        client = http_client.Client(address, 1)
        stack.callback(client.close)
        for _ in range(2):
            answer = await client.post("/poll", b"{}", {"Name": "w1"}, TIMEOUT_S)
            assert answer == http_client.Response(200, b"hi")
        return seen

    seen = run_scenario(scenario)
    assert [number for number, _head in seen] == [0, 0]
    assert "POST /poll HTTP/1.1\r\n" in seen[0][1]
    assert "Name: w1\r\nContent-Length: 2\r\n" in seen[0][1]


@pytest.mark.parametrize("answer", [None, b"nonsense\r\n\r\n"])
def test_a_request_without_an_answer_may_have_been_executed(answer):
    """Guards against reporting a start as not run that a worker got before it crashed.

    The next request uses another connection, also after bytes that are not a valid
    answer.
    """

    async def scenario(stack):
        address, seen = await listen(stack, [answer, OK])
        client = http_client.Client(address, 1)
        stack.callback(client.close)
        with pytest.raises(http_client.UnansweredError):
            await client.post("/start", b"{}", {}, TIMEOUT_S)
        assert (await client.post("/start", b"{}", {}, TIMEOUT_S)).status == 200
        return seen

    assert [number for number, _head in run_scenario(scenario)] == [0, 1]


def test_a_late_answer_is_not_returned_for_the_next_request():
    """Guards against mixed-up answers after a timeout on a persistent connection."""

    async def scenario(stack):
        address, _seen = await listen(stack, [b"", OK])
        client = http_client.Client(address, 1)
        stack.callback(client.close)
        with pytest.raises(http_client.UnansweredError):
            await client.post("/poll", b"{}", {}, timeout_s=0.01)
        assert (await client.post("/poll", b"{}", {}, TIMEOUT_S)).body == b"hi"

    run_scenario(scenario)


def test_a_refused_connection_is_distinguished_from_one_that_hangs(monkeypatch):
    """Guards against treating an unreachable worker as one that has crashed."""

    async def scenario(_stack):
        with contextlib.closing(socket.socket()) as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            with pytest.raises(http_client.RefusedError):
                client = http_client.Client(f"127.0.0.1:{port}", 1)
                await client.post("/start", b"{}", {}, TIMEOUT_S)
        loop = asyncio.get_running_loop()
        hangs = lambda *arguments: loop.create_future()
        monkeypatch.setattr(loop, "create_connection", hangs)
        with pytest.raises(http_client.NotSentError) as caught:
            client = http_client.Client(f"127.0.0.1:{port}", 0.01)
            await client.post("/start", b"{}", {}, TIMEOUT_S)
        assert not isinstance(caught.value, http_client.RefusedError)

    run_scenario(scenario)


def test_a_lost_connection_is_distinguished_from_a_missing_answer():
    """Guards against treating a worker's crash at a start as a lost request."""

    async def scenario(stack):
        address, _seen = await listen(stack, [None])
        with pytest.raises(http_client.ConnectionLostError):
            await http_client.Client(address, 1).post("/start", b"{}", {}, TIMEOUT_S)

    run_scenario(scenario)


def test_a_request_to_a_port_without_a_listener_is_not_sent():
    async def scenario(_stack):
        with contextlib.closing(socket.socket()) as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            client = http_client.Client(address, 1)
            with pytest.raises(http_client.NotSentError):
                await client.post("/poll", b"{}", {}, TIMEOUT_S)

    run_scenario(scenario)


def test_waits_for_hundreds_of_answers_add_no_threads():
    """Guards against a number of threads that grows with the number of workers.

    Pattern: a poll in progress at each of several hundred workers, none of which has
    anything to report.
    """

    async def scenario(stack):
        held = []
        all_held = asyncio.Event()

        async def hold(reader, writer):
            held.append(writer)
            if len(held) == CONNECTIONS:
                all_held.set()
            await reader.read()

        server = await asyncio.start_server(hold, "127.0.0.1", 0, backlog=CONNECTIONS)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        before = threading.active_count()
        calls = []
        for _ in range(CONNECTIONS):
            client = http_client.Client(f"127.0.0.1:{port}", TIMEOUT_S)
            stack.callback(client.close)
            post = client.post("/poll", b"{}", {}, TIMEOUT_S)
            calls.append(asyncio.ensure_future(post))
        await all_held.wait()
        assert threading.active_count() <= before
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    run_scenario(scenario)
