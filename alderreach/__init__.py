"""alderreach, a cluster scheduler for services, batch runs and gang jobs.

The packages, from the lowest layer up; a lower one never imports a higher one:

- ``core``: plain data, the schema's generated code, pure state machines.
- ``utils``: clocks, the transport between processes, synced files, the time line.
- ``parser``: settings, questionnaires and configuration items, fully validated.
- ``decisions``: admission, queueing, rejection and placement of work.
- ``ops``: the daemons' tasks, which own sockets and state.
- ``platform``: conversion between the platform's HTTP protocol and the daemons.
- ``scripts``: main scripts of the daemons and of the command line.
"""

__version__ = "0.1.0"
