"""Faults of nodes: kills, freezes, cuts between them, and planned rolls."""

import asyncio
import signal

from tests.soak.fault_context import FaultAction, FaultContext
from tests.soak.shape import Fault

FREEZE_S = (0.5, 6.0)
CUT_S = (1.0, 5.0)
# What a node that has got SIGTERM may get before it ends.
SIGNALS_AFTER_TERM = (
    (),
    (),
    (signal.SIGTERM,),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGSTOP, signal.SIGCONT),
    (signal.SIGKILL,),
)
SIGNAL_INTERVAL_S = (0.1, 1.0)
# One of these happens at a time.
NODES = "nodes"


class NodeFaults:
    """Brings faults of nodes about."""

    def __init__(self, context: FaultContext) -> None:
        """Brings nothing about yet."""
        self._context = context
        self._fleet = context.fleet
        self._rng = context.rng

    def actions(self) -> dict[Fault, FaultAction]:
        """Returns what brings each fault about and waits for its end."""
        return {
            Fault.KILL: self._kill,
            Fault.KILL_ONE: self._kill_one,
            Fault.FREEZE: self._freeze,
            Fault.CUT: self._cut,
            Fault.ROLL: self._roll,
            Fault.RELEASE: self._release,
            Fault.END: self._end,
        }

    async def _kill(self) -> None:
        """One node, two, or all of them, are killed and start again."""
        if not self._context.take(NODES):
            return
        count = self._rng.choice((1, 2, len(self._fleet.ips)))
        ips = self._fleet.ips[:count]
        if self._context.take(*ips):
            self._context.describe(f"{count} nodes are killed")
            self._fleet.kill(count)
            await self._fleet.start_again(count)
            self._context.release(*ips)
        self._context.release(NODES)

    async def _kill_one(self) -> None:
        """Any node: which servers' permits it issues varies from run to run."""
        if not self._context.take(NODES):
            return
        ip = self._rng.choice(self._fleet.ips)
        self._context.describe(f"{ip} is killed")
        self._fleet.kill_nodes([ip])
        await self._fleet.start_nodes_again([ip])
        self._context.release(NODES)

    async def _freeze(self) -> None:
        if not self._context.take(NODES):
            return
        ips = self._draw_nodes()
        freeze_s = self._rng.uniform(*FREEZE_S)
        self._context.describe(f"{len(ips)} nodes freeze for {freeze_s:.1f} s")
        for ip in ips:
            self._fleet.processes[ip].pause()
        await asyncio.sleep(freeze_s)
        for ip in ips:
            self._fleet.processes[ip].resume()
        self._context.release(NODES)

    async def _cut(self) -> None:
        if not self._context.take(NODES):
            return
        ips = self._draw_nodes()
        cut_s = self._rng.uniform(*CUT_S)
        # The signals would end a node that has yet to start.
        if self._context.take(*ips):
            self._context.describe(
                f"{len(ips)} nodes hear no other node for {cut_s:.1f} s"
            )
            self._fleet.cut_off_nodes(ips)
            await asyncio.sleep(cut_s)
            self._fleet.heal_nodes(ips)
            self._context.release(*ips)
        self._context.release(NODES)

    async def _roll(self) -> None:
        taken = NODES, *self._fleet.ips
        if not self._context.take(*taken):
            return
        self._context.describe("all nodes are rolled")
        await self._fleet.roll()
        self._context.release(*taken)

    async def _release(self) -> None:
        taken = NODES, *self._fleet.ips
        if not self._context.take(*taken):
            return
        self._context.describe("all nodes start again with the other build")
        await self._fleet.roll(switches_build=True)
        self._context.release(*taken)

    async def _end(self) -> None:
        """A node gets SIGTERM, then perhaps other signals, and starts again."""
        ip = self._rng.choice(self._fleet.ips)
        if not self._context.take(ip):
            return
        others = self._rng.choice(SIGNALS_AFTER_TERM)
        names = " ".join(number.name for number in others)
        self._context.describe(f"{ip} is ended; then {names or 'nothing'}")
        process = self._fleet.processes[ip]
        process.terminate()
        for number in others:
            await asyncio.sleep(self._rng.uniform(*SIGNAL_INTERVAL_S))
            process.send_signal(number)
        await self._fleet.start_when_ended(ip)
        self._context.release(ip)

    def _draw_nodes(self) -> list[str]:
        """Returns some of the nodes, but not all."""
        ips = self._fleet.ips
        return self._rng.sample(ips, self._rng.randint(1, len(ips) - 1))
