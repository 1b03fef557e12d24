"""alderreach, a cluster scheduler for services, batch runs and gang jobs.

The packages, lower ones first; a lower one never imports a higher one:

- ``core``: plain data, the schema's generated code, pure state machines.
- ``utils``: clocks, the transport between processes, synced files, the time line.
- ``parser``: settings, questionnaires and what callers send, checked whole.
- ``decisions``: what is let in, waits, is turned away and where work goes.
- ``ops``: the three daemons' tasks, which own sockets and state.
- ``scripts``: thin mains.
"""

__version__ = "0.1.0"
