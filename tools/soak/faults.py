"""Injects the faults of a soak test from outside the programs.

Each fault lasts for a random time; several overlap. Processes are killed, stopped,
paused and restarted; connections to workers and from callers go through a relay that
cuts, slows and resets them; data folders are deleted while their process is down;
workers leave starts unanswered and carry them out seconds later; a controller, mostly
the leader, is frozen or cut off from the others, in one direction or both, while it
reaches its workers; disks of controllers become full or stall, and their wall clocks
step. The faults stay within what the cell tolerates: one controller out
of three voters is down or without its disk at a time, but all of them may lose power
together, and cuts between them come in addition. Workers leave for good and are
replaced, one at a time: each step may run in at least two of the four places, and has
to be able to run in the end. At last all processes lose power at the same moment, and
one controller also its disk.
"""

import functools
import random
import shutil
import signal
import threading
import time
import typing

from tools import relay as relay_module
from tools.soak import faulty_controller

ROLES = ("controller", "frontend")
# A draining worker serves for at least two seconds before it leaves.
DRAIN_S = 2.2
# A worker that carries out starts late delays each of them by one of these times.
START_DELAYS_S = (0.0, 2.0, 4.0, 7.0, 12.0)
# The share of freezes and cuts of controllers that concern the leader.
LEADER_SHARE = 0.7
DISKS = {"full": faulty_controller.FULL, "stall": faulty_controller.STALLED}
CLOCK_OFFSETS_MS = (-3_600_000, -5000, 5000, 3_600_000)
# The time after a restart without a disk in which no controller has another fault.
WIPE_PAUSE_S = 1.0
# How long all processes are down at last.
BLACKOUT_S = (0.05, 0.7, 1.5)


class Fault(typing.NamedTuple):
    """One injected fault."""

    at_s: float
    for_s: float
    kind: str
    place: str


class Faults:
    """Injects random faults until its time is over, then repairs all."""

    def __init__(self, running, relay, workers, start_worker, seed):
        self._running = running
        self._relay = relay
        self._workers = workers
        self._start_worker = start_worker
        self._rng = random.Random(f"faults {seed}")
        self._turnover_rng = random.Random(f"turnover {seed}")
        self._delay_rng = random.Random(f"delays {seed}")
        self._split_rng = random.Random(f"splits {seed}")
        self._host_rng = random.Random(f"hosts {seed}")
        self._clock_rng = random.Random(f"clocks {seed}")
        self._blackout_rng = random.Random(f"blackout {seed}")
        self._hosts = {}
        self._lock = threading.Lock()
        self._busy = set()
        self._has_lost_disk = False
        self._began_s = time.monotonic()
        self.happened = []
        self._kinds = {
            "kill": self._kill,
            "stop": self._stop,
            "pause": self._pause,
            "wipe": self._wipe,
            "dark": self._dark,
            "cut": self._cut,
            "cut_one_way": self._cut_one_way,
            "slow": self._slow,
            "reset": self._reset,
            "worker_crash": self._worker_crash,
        }

    def play(self, duration_s, more_series=()):
        """Inject faults for ``duration_s``; returns once the last one is repaired.

        ``more_series`` are played beside them until a time on the monotonic clock.
        """
        deadline_s = time.monotonic() + duration_s
        series = (
            *more_series,
            self._replace_workers,
            self._delay_starts,
            self._split_controllers,
            self._disturb_disks,
            self._step_clocks,
        )
        threads = [threading.Thread(target=each, args=[deadline_s]) for each in series]
        for thread in threads:
            thread.start()
        while time.monotonic() < deadline_s:
            kind = self._rng.choice(list(self._kinds))
            hold_s = self._rng.choice([0.05, 0.4, 1.5, 4.0])
            place_draw = self._rng.random()
            work = lambda k=kind, h=hold_s, p=place_draw: self._kinds[k](k, h, p)
            threads.append(threading.Thread(target=work, daemon=True))
            threads[-1].start()
            time.sleep(self._rng.choice([0.1, 0.5, 1.2]))
        for thread in threads:
            thread.join()

    def play_calm(self, duration_s):
        """For ``duration_s`` only delay starts and drain workers."""
        deadline_s = time.monotonic() + duration_s
        delaying = threading.Thread(target=self._delay_starts, args=[deadline_s])
        delaying.start()
        self._replace_workers(deadline_s, ["drain"])
        delaying.join()

    def black_out(self):
        """Kill all processes at the same moment; one controller loses its disk.

        The cell has to have all its voters before, or two votes would be lost.
        """
        plans = [plan for plan in self._running.plans if plan.role in ROLES]
        lost = self._draw_controller(self._blackout_rng)
        hold_s = self._blackout_rng.choice(BLACKOUT_S)
        self.record("blackout", hold_s, lost.name)
        self._kill_together(plans)
        shutil.rmtree(self._running.folder / "data" / lost.name)
        time.sleep(hold_s)
        self._running.start([plan.name for plan in plans])

    def _kill(self, kind, hold_s, draw):
        self._process_fault(kind, hold_s, draw, ROLES, self._kill_process)

    def _stop(self, kind, hold_s, draw):
        def stop(plan, hold_s):
            process = self._running.processes[plan.name]
            process.terminate()
            process.wait(20)
            time.sleep(hold_s)
            self._running.start([plan.name])

        self._process_fault(kind, hold_s, draw, ROLES, stop)

    def _pause(self, kind, hold_s, draw):
        self._process_fault(kind, hold_s, draw, ROLES, self._freeze)

    def _wipe(self, kind, hold_s, draw):
        """Delete a controller's disk; skipped while a voter is lost with its disk."""
        if self._has_lost_disk and not self._running.has_all_voters():
            return

        def wipe(plan, hold_s):
            self._has_lost_disk = True
            self._running.kill(plan.name)
            shutil.rmtree(self._running.folder / "data" / plan.name)
            time.sleep(hold_s)
            self._running.start([plan.name])
            time.sleep(WIPE_PAUSE_S)

        self._process_fault(kind, hold_s, draw, ("controller",), wipe)

    def _freeze(self, plan, hold_s):
        self._running.pause(plan.name)
        time.sleep(hold_s)
        self._running.resume(plan.name)

    def _kill_process(self, plan, hold_s):
        self._running.kill(plan.name)
        time.sleep(hold_s)
        self._running.start([plan.name])

    def _dark(self, kind, hold_s, _draw):
        """Kill all controllers at once; skipped while one of them has a fault."""
        plans = self._running.of_role("controller")
        with self._lock:
            if any(plan.name in self._busy for plan in plans):
                return
            self._busy |= {plan.name for plan in plans}
        self.record(kind, hold_s, "controllers")
        self._kill_together(plans)
        time.sleep(hold_s)
        self._running.start([plan.name for plan in plans])
        self._release(plan.name for plan in plans)

    def _kill_together(self, plans):
        for plan in plans:
            self._running.processes[plan.name].send_signal(signal.SIGKILL)
        for plan in plans:
            self._running.processes[plan.name].wait()

    def _cut(self, kind, hold_s, draw):
        self._link_fault(kind, hold_s, draw, lambda name: self._relay.cut([name]))

    def _cut_one_way(self, kind, hold_s, draw):
        directions = (relay_module.IN,) if draw < 0.5 else (relay_module.OUT,)
        self._link_fault(
            kind, hold_s, draw, lambda name: self._relay.cut([name], directions)
        )

    def _slow(self, kind, hold_s, draw):
        self._link_fault(kind, hold_s, draw, lambda name: self._relay.slow([name], 150))

    def _reset(self, kind, hold_s, draw):
        self._link_fault(kind, hold_s, draw, lambda name: self._relay.reset([name]))

    def _worker_crash(self, kind, hold_s, draw):
        with self._lock:
            worker = self._workers[int(draw * len(self._workers))]
            if worker.name in self._busy:
                return
            self._busy.add(worker.name)
        self.record(kind, hold_s, worker.name)
        # The worker is unreachable while it is down; connections to its previous
        # incarnation are reset before it restarts.
        self._relay.cut([worker.link])
        worker.crash()
        time.sleep(hold_s)
        self._relay.reset([worker.link])
        worker.restart()
        self._relay.heal([worker.link])
        self._release([worker.name])

    def _replace_workers(self, deadline_s, kinds=("drain", "vanish")):
        rng = self._turnover_rng
        while time.monotonic() < deadline_s:
            kind = rng.choice(kinds)
            place = rng.randrange(len(self._workers))
            self._replace_worker(kind, rng.choice([0.05, 0.4, 1.5, 3.0]), place)
            time.sleep(rng.choice([0.1, 0.5, 1.2]))

    def _replace_worker(self, kind, hold_s, place):
        """Make a worker leave for good, and start another in its place later."""
        with self._lock:
            worker = self._workers[place]
            if worker.name in self._busy:
                return
            self._busy.add(worker.name)
        self.record(kind, hold_s, worker.name)
        if kind == "drain":
            worker.drain()
            time.sleep(DRAIN_S)
            worker.leave()
        else:
            worker.vanish()
        time.sleep(hold_s)
        replacement = self._start_worker(place)
        with self._lock:
            self._workers[place] = replacement

    def _delay_starts(self, deadline_s):
        """Have workers, one at a time, carry out starts late.

        The schedule of the other faults does not depend on these draws, so that a seed
        keeps its schedule.
        """
        rng = self._delay_rng
        while time.monotonic() < deadline_s:
            hold_s = rng.choice([0.4, 1.5, 3.0])
            with self._lock:
                worker = self._workers[rng.randrange(len(self._workers))]
            self.record("late_starts", hold_s, worker.name)
            worker.start_delay_s = lambda: rng.choice(START_DELAYS_S)
            time.sleep(hold_s)
            worker.start_delay_s = lambda: 0.0
            time.sleep(rng.choice([0.1, 0.5, 1.2]))

    def _split_controllers(self, deadline_s):
        """Freeze controllers or cut them off from the others, one after another."""
        rng = self._split_rng
        names = [plan.name for plan in self._running.of_role("controller")]
        while time.monotonic() < deadline_s:
            kind = rng.choice(["isolate", "deafen", "mute", "freeze"])
            hold_s = rng.choice([0.4, 1.5, 4.0])
            name = rng.choice(names)
            if rng.random() < LEADER_SHARE:
                name = self._running.leader() or name
            if kind == "freeze":
                self._inject(kind, hold_s, self._running.plan(name), self._freeze)
            else:
                self._cut_off(kind, hold_s, name)
            time.sleep(rng.choice([0.1, 0.5, 1.2]))

    def _disturb_disks(self, deadline_s):
        """Let disks of controllers, mostly the leader's, become full or stall."""
        rng = self._host_rng
        while time.monotonic() < deadline_s:
            time.sleep(rng.choice([0.5, 1.2, 2.0]))
            kind = rng.choice(list(DISKS))
            hold_s = rng.choice([0.05, 0.4, 1.5, 4.0])
            plan = self._draw_controller(rng)
            self._inject(
                kind, hold_s, plan, functools.partial(self._disturb_disk, DISKS[kind])
            )

    def _disturb_disk(self, disk, plan, hold_s):
        self._set_host(plan, disk=disk)
        time.sleep(hold_s)
        self._set_host(plan, disk=faulty_controller.SOUND)

    def _step_clocks(self, deadline_s):
        """Step the wall clocks of controllers, one at a time, and back."""
        rng = self._clock_rng
        while time.monotonic() < deadline_s:
            hold_s = rng.choice([0.4, 1.5, 4.0])
            plan = self._draw_controller(rng)
            self.record("clock", hold_s, plan.name)
            self._set_host(plan, clock_offset_ms=rng.choice(CLOCK_OFFSETS_MS))
            time.sleep(hold_s)
            self._set_host(plan, clock_offset_ms=0)
            time.sleep(rng.choice([0.1, 0.5, 1.2]))

    def _draw_controller(self, rng):
        """One of the controllers, with a preference for the leader."""
        plan = rng.choice(self._running.of_role("controller"))
        leader = self._running.leader() if rng.random() < LEADER_SHARE else None
        return self._running.plan(leader) if leader else plan

    def _set_host(self, plan, **faults):
        with self._lock:
            host = self._hosts.setdefault(plan.name, {})
            host |= faults
            self._running.set_host(plan, **host)

    def _cut_off(self, kind, hold_s, name):
        """Cut a controller's links with the others: to it, from it, or both."""
        links = self._running.links_of(name)
        if kind != "isolate":
            links = [link for link in links if link[kind == "deafen"] == name]
        self.record(kind, hold_s, name)
        self._running.controller_links.cut(links)
        time.sleep(hold_s)
        self._running.controller_links.heal(links)

    def _process_fault(self, kind, hold_s, draw, roles, act):
        """Inject a fault into one process; only one controller at a time has one."""
        plans = [plan for plan in self._running.plans if plan.role in roles]
        self._inject(kind, hold_s, plans[int(draw * len(plans))], act)

    def _inject(self, kind, hold_s, plan, act):
        with self._lock:
            taken = {plan.name}
            if plan.role == "controller":
                taken = {p.name for p in self._running.of_role("controller")}
            if taken & self._busy:
                return
            self._busy |= taken
        self.record(kind, hold_s, plan.name)
        act(plan, hold_s)
        self._release(taken)

    def _link_fault(self, kind, hold_s, draw, act):
        names = self._relay.names()
        name = names[int(draw * len(names))]
        self.record(kind, hold_s, name)
        act(name)
        time.sleep(hold_s)
        self._relay.heal([name])

    def record(self, kind, hold_s, place):
        """Add a fault that begins now to those that have happened."""
        at_s = time.monotonic() - self._began_s
        self.happened.append(Fault(at_s, hold_s, kind, place))

    def _release(self, names):
        with self._lock:
            self._busy -= set(names)
