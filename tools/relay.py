"""A relay between processes that can go silent, for tests of network cuts.

A cut link keeps its connections open and passes nothing on, in one direction or both,
as a network does that drops packets: the sender's kernel holds what it could not
deliver, and it arrives late once the link heals. New connections over a cut link are
accepted by the kernel and stay silent as well.
"""

import asyncio
import contextlib
import threading

CHUNK_BYTES = 65536


class Relay:
    """Forwards TCP from many listening addresses, each with a name that can be cut."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._open = {}
        self._servers = []
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, name, listen, target):
        """Forward ``listen`` to ``target``, both (host, port), as the link ``name``."""
        future = asyncio.run_coroutine_threadsafe(
            self._serve(name, listen, target), self._loop
        )
        future.result(timeout=5)

    def cut(self, names):
        """Let nothing pass on the named links until they are healed."""
        self._set(names, False)

    def heal(self, names):
        """Let the named links pass everything, what they held first."""
        self._set(names, True)

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

    def _set(self, names, passing):
        def change():
            for name in names:
                event = self._open[name]
                event.set() if passing else event.clear()

        self._loop.call_soon_threadsafe(change)

    async def _serve(self, name, listen, target):
        self._open[name] = asyncio.Event()
        self._open[name].set()

        async def connected(reader, writer):
            with contextlib.suppress(asyncio.CancelledError):
                await self._forward(name, reader, writer, target)

        self._servers.append(await asyncio.start_server(connected, *listen))

    async def _forward(self, name, reader, writer, target):
        await self._open[name].wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(name, reader, far_writer), self._pump(name, far_reader, writer)
        )

    async def _pump(self, name, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._open[name].wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
