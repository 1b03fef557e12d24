"""A TCP relay between processes that injects network faults, for failure tests.

- *Cut:* a link keeps its connections open and forwards nothing, in one direction or
  both, like a network that drops packets: the sender's kernel buffers the data, which
  arrives late once the link heals. New connections over a cut link are accepted by the
  kernel and stay silent as well.
- *Slow:* all data are delayed.
- *Silence:* the connections that are open now stay open and forward nothing any more,
  in one direction or both, also not that they were closed. Healing the link does not
  change that. New connections work.
- *Reset:* all connections of a link are aborted, also those that wait for the link to
  heal; nothing that was sent on them arrives.
"""

import asyncio
import contextlib
import threading

CHUNK_BYTES = 65536
OUT, IN = "out", "in"
BOTH = (OUT, IN)


def _open_directions():
    """An event for each direction, set while data pass."""
    events = {OUT: asyncio.Event(), IN: asyncio.Event()}
    for event in events.values():
        event.set()
    return events


class _Link:
    """One listening address: its open directions, its delay and its connections.

    ``connections`` holds the open directions of each connection.
    """

    def __init__(self):
        self.passing = _open_directions()
        self.delay_s = 0.0
        self.writers = set()
        self.connections = []


class Relay:
    """Forwards TCP from many listening addresses, each with a name that can be cut."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._links = {}
        self._servers = []
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, name, listen, target):
        """Forward ``listen`` to ``target``, both (host, port), as the link ``name``."""
        future = asyncio.run_coroutine_threadsafe(
            self._serve(name, listen, target), self._loop
        )
        future.result(timeout=5)

    def names(self):
        """The names of all links."""
        return list(self._links)

    def has_connections(self, name):
        """Whether a link has open connections, or some that wait for it to heal."""
        return bool(self._links[name].writers)

    def cut(self, names, directions=BOTH):
        """Stop forwarding on the named links until they are healed."""
        self._change(names, lambda link: _set(link.passing, directions, False))

    def heal(self, names):
        """Forward without delay on the named links again, buffered data first."""

        def mend(link):
            link.delay_s = 0.0
            _set(link.passing, BOTH, True)

        self._change(names, mend)

    def silence(self, names, directions=BOTH):
        """Stop forwarding on the connections that are open now, permanently."""

        def silence_open(link):
            for passing in link.connections:
                _set(passing, directions, False)

        self._change(names, silence_open)

    def slow(self, names, delay_ms):
        """Delay all data on the named links."""
        self._change(names, lambda link: setattr(link, "delay_s", delay_ms / 1000))

    def reset(self, names):
        """Abort all connections of the named links."""

        def abort(link):
            for writer in list(link.writers):
                writer.transport.abort()

        self._change(names, abort)

    def close(self):
        """End all links and wait until their connections are closed."""
        asyncio.run_coroutine_threadsafe(self._end(), self._loop).result(timeout=5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=5)
        self._loop.close()

    async def _end(self):
        for server in self._servers:
            server.close()
        running = asyncio.all_tasks() - {asyncio.current_task()}
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _change(self, names, change):
        def change_all():
            for name in names:
                change(self._links[name])

        self._loop.call_soon_threadsafe(change_all)

    async def _serve(self, name, listen, target):
        link = self._links[name] = _Link()

        async def connected(reader, writer):
            with contextlib.suppress(asyncio.CancelledError):
                await _forward(link, reader, writer, target)

        self._servers.append(await asyncio.start_server(connected, *listen))


def _set(events, directions, passing):
    for direction in directions:
        event = events[direction]
        event.set() if passing else event.clear()


async def _forward(link, reader, writer, target):
    link.writers.add(writer)
    try:
        await link.passing[OUT].wait()
        if not writer.is_closing():
            await _connect(link, reader, writer, target)
    finally:
        link.writers.discard(writer)


async def _connect(link, reader, writer, target):
    try:
        far_reader, far_writer = await asyncio.open_connection(*target)
    except OSError:
        writer.close()
        return
    passing = _open_directions()
    link.writers.add(far_writer)
    link.connections.append(passing)
    try:
        await asyncio.gather(
            _pump(link, passing[OUT], OUT, reader, far_writer),
            _pump(link, passing[IN], IN, far_reader, writer),
        )
    finally:
        link.connections.remove(passing)
        link.writers.discard(far_writer)


async def _pump(link, passes, direction, reader, writer):
    """Forward one direction of a connection while ``passes`` is set."""
    try:
        while data := await reader.read(CHUNK_BYTES):
            if link.delay_s:
                await asyncio.sleep(link.delay_s)
            await link.passing[direction].wait()
            await passes.wait()
            writer.write(data)
            await writer.drain()
        await passes.wait()
    except OSError:
        pass
    finally:
        writer.close()
