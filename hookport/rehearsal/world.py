"""Worker process with the simulated servers, counter, discovery agents and proxies, and their faults.

The orchestrator starts it, sends orders on its standard input and reads events from its standard output.
"""

from __future__ import annotations

import asyncio
import functools
import sys
from collections.abc import Callable
from typing import Any

import msgspec

from hookport.rehearsal import draw
from hookport.rehearsal import plan as plans
from hookport.rehearsal.history import Recorder
from hookport.rehearsal.runtime import Environment, LagMonitor, WorkerPipe, run_worker
from hookport.rehearsal.standins import Agent, Counter, DatagramRelay, Fleet, Model, Proxy, Server
from hookport.rehearsal.standins.server import Job, RequestSpec

REGISTRATION_DELAY_S = 0.05  # from the start of a server until discovery lists it


class World:
    """All systems that the limiters of one run communicate with, except the clients.

    ``send_event`` reports an event to the orchestrator as keyword arguments."""

    def __init__(
        self, plan: plans.Plan, seed: int, recorder: Recorder, send_event: Callable[..., None]
    ) -> None:
        self.plan, self.seed, self.recorder, self.send_event = plan, seed, recorder, send_event
        self.loop = asyncio.get_running_loop()
        self.write_row = recorder.record
        self.arrivals = draw.arrivals(plan, seed)
        self.fleet = Fleet()
        self.servers: list[Server] = []
        self.agents: list[Agent] = []
        self.counter: Counter | None = None
        self.datagrams: DatagramRelay | None = None
        self.proxies: dict[tuple[str, int, int], Proxy] = {}
        self.limiter_ports: list[int] = []
        self.start_ns = 0
        self.answer_count = 0
        self.pending_faults = [n for n, fault in enumerate(plan.fault) if fault.when]
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, limiter_ports: list[int], peer_ports: list[int]) -> dict[str, Any]:
        """Start all listeners; return the addresses for the limiters' configuration and for the clients."""
        plan, seed, limiters = self.plan, self.seed, self.plan.limiters.count
        self.limiter_ports = limiter_ports
        fleet = plan.fleet
        mean_ms = sum(request_class.work_ms for request_class in plan.classes) / len(plan.classes)
        for n in range(fleet.servers):
            model = Model(
                cores=fleet.cores,
                speed=draw.uniform_between(*fleet.speed, seed, "speed", n),
                queue_capacity=fleet.queue_per_core * fleet.cores,
                cold_capacity_share=fleet.cold_from,
                warm_up_s=fleet.cold_s,
                overload_multiple=fleet.fall_multiple,
                overload_window_s=fleet.fall_s,
                cancel=fleet.cancel,
                max_connections=fleet.connections,
                idle_timeout_s=fleet.idle_s,
                error_share=fleet.error_share,
                mean_work_s=mean_ms / 1000,
            )
            server = Server(self.loop, n, model, self.look_up, self.write_row, self.on_server_event)
            await server.start(self.server_id(n, 0), limiters)
            self.servers.append(server)
        for limiter in range(limiters):
            delay_s = draw.uniform_between(*plan.discovery.delay_s, seed, "agent", limiter)
            assume_notified_after_s = plan.discovery.told_within_s
            address = functools.partial(self.server_address, limiter=limiter)
            self.agents.append(
                Agent(self.loop, limiter, delay_s, address, self.write_row, assume_notified_after_s)
            )
            await self.agents[limiter].start()
        if plan.counter.present:
            counter_plan = plan.counter
            self.counter = Counter(
                self.loop, counter_plan.parts, counter_plan.per_s, counter_plan.line, self.is_answer_lost
            )
            await self.counter.start(limiters)
            if any(isinstance(f, plans.CounterFault) and f.mode == "snapshot" for f in plan.fault):
                self.counter.take_snapshots()
        peers: list[list[str]] = []
        if plan.peers.allowed:
            min_ms, max_ms = plan.peers.delay_ms
            random = functools.partial(draw.uniform, seed)
            self.datagrams = DatagramRelay(self.loop, plan.peers.loss, (min_ms / 1000, max_ms / 1000), random)
            peers = await self.datagrams.start(peer_ports)
        for fault in plan.fault:
            if isinstance(fault, plans.LinkFault):
                await self.create_proxy(fault)
        self.fleet.agents = self.agents
        self.fleet.add(*(self.entry(server) for server in self.servers))
        return {
            "discovery": [self.discovery_port(n) for n in range(limiters)],
            "counter": [self.counter_port(n) for n in range(limiters)],
            "fronts": [self.desk_port(n) for n in range(limiters)],
            "known": [self.agents[n].known_list() for n in range(limiters)],
            "peers": peers,
        }

    def close(self) -> None:
        for server in self.servers:
            server.stop("the end")
        for agent in self.agents:
            agent.close()
        for proxy in self.proxies.values():
            proxy.close()
        if self.counter:
            for limiter, calls in enumerate(self.counter.calls):
                self.write_row({"e": "counts", "t": Environment.clock_ns(), "l": limiter, "calls": calls})
            self.counter.close()
        if self.datagrams:
            figures = zip(
                self.datagrams.sent, self.datagrams.largest_bytes, self.datagrams.busiest_second, strict=True
            )
            for limiter, (sent, largest, busiest) in enumerate(figures):
                self.write_row({"e": "words", "t": Environment.clock_ns(), "l": limiter, "sent": sent,
                                "largest": largest, "busiest": busiest})  # fmt: skip
            self.datagrams.close()

    # Addresses and discovery entries

    def server_id(self, index: int, incarnation: int) -> str:
        return f"s-{index:02d}-{int(draw.uniform(self.seed, 'id', index, incarnation) * (1 << 32)):08x}"

    def entry(self, server: Server, lifecycle: str = "SERVING") -> dict[str, Any]:
        return {
            "instanceId": server.id,
            "index": server.index,
            "zone": f"hall-{server.index % self.plan.fleet.zones}",
            "machineType": "desk",
            "cell": server.index // 4,
            "lifecycle": lifecycle,
            "weight": float(server.model.cores),
            "startedAtMs": server.started_ms,
        }

    def server_address(self, entry: dict[str, Any], limiter: int) -> str:
        index = entry["index"]
        proxy = self.proxies.get(("server", limiter, index))
        return f"{Environment.host}:{proxy.port if proxy else self.servers[index].ports[limiter]}"

    def discovery_port(self, limiter: int) -> int:
        proxy = self.proxies.get(("discovery", limiter, 0))
        return proxy.port if proxy else self.agents[limiter].port

    def counter_port(self, limiter: int) -> int:
        proxy = self.proxies.get(("counter", limiter, 0))
        return proxy.port if proxy else (self.counter.ports[limiter] if self.counter else 0)

    def desk_port(self, limiter: int) -> int:
        proxy = self.proxies.get(("desks", limiter, 0))
        return proxy.port if proxy else self.limiter_ports[limiter]

    async def create_proxy(self, fault: plans.LinkFault) -> None:
        limiter, server = fault.limiter, fault.server or 0
        key = (fault.to, limiter, server if fault.to == "server" else 0)
        if key in self.proxies:
            return
        targets: dict[str, Callable[[], int]] = {
            "server": lambda: self.servers[server].ports[limiter],
            "counter": lambda: self.counter.ports[limiter] if self.counter else 0,
            "discovery": lambda: self.agents[limiter].port,
            "desks": lambda: self.limiter_ports[limiter],
        }
        self.proxies[key] = Proxy(self.loop, targets[fault.to])
        await self.proxies[key].start()

    # Requests

    def look_up(self, id: str) -> RequestSpec | None:
        """Return what the plan defines for a request id, or None if no client sends that id."""
        found = draw.decode_request_id(self.seed, id)
        if found is None or found[0] >= len(self.arrivals):
            return None
        arrival = self.arrivals[found[0]]
        work_ms = round(
            draw.work_ms(self.plan, self.seed, arrival.class_index, arrival.units, arrival.number), 3
        )
        share = self.plan.fleet.error_share
        return RequestSpec(
            work_s=work_ms / 1000,
            unsafe=self.plan.classes[arrival.class_index].repeat != "safe",
            fails=share > 0 and draw.uniform(self.seed, "error", id) < share,
        )

    def is_answer_lost(self) -> bool:
        share = self.plan.counter.lost_share
        if share <= 0:
            return False
        self.answer_count += 1
        return draw.uniform(self.seed, "lost", self.answer_count) < share

    # Faults

    def schedule_faults(self, start_ns: int) -> None:
        self.start_ns = start_ns
        for number, fault in enumerate(self.plan.fault):
            if fault.at_s is not None:
                self.schedule_fault(fault.at_s, number)

    def schedule_fault(self, at_s: float, number: int) -> None:
        wait_s = (self.start_ns - Environment.clock_ns()) / 1e9 + at_s
        self.loop.call_later(max(0.0, wait_s), self.start_fault, number, None)

    def on_server_event(self, event: str, server: Server, job: Job) -> None:
        """Start the faults whose ``when`` condition this event meets."""
        if not self.pending_faults or not self.start_ns:
            return
        now_s = (Environment.clock_ns() - self.start_ns) / 1e9
        for number in list(self.pending_faults):
            when = self.plan.fault[number].when
            if when and when.event == event and now_s >= when.after_s and when.server in (None, server.index):
                self.pending_faults.remove(number)
                self.start_fault(number, server, job)

    def start_fault(self, number: int, server: Server | None, job: Job | None = None) -> None:
        """Start a fault now; a task continues what takes time."""
        fault = self.plan.fault[number]
        targets = self.targets(number, server)
        if isinstance(fault, plans.KillFault):
            # In this loop iteration: the triggering event must not complete.
            for target in targets:
                target.stop("killed")
        if isinstance(fault, plans.LimiterFault) and job is not None:
            fault = msgspec.structs.replace(fault, limiter=job.limiter)  # the limiter that sent the job
        task = self.loop.create_task(self.run_fault(fault, targets))
        self.tasks.add(task)
        task.add_done_callback(self.on_fault_done)

    def on_fault_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.send_event(ev="failed", why=f"injecting a fault failed: {type(error).__name__}: {error}")

    def targets(self, number: int, server: Server | None) -> list[Server]:
        fault = self.plan.fault[number]
        if not isinstance(fault, plans.KillFault | plans.SlowFault | plans.DrainFault):
            return []
        if server is not None and not fault.servers and not fault.share:
            return [server]
        return [
            self.servers[n]
            for n in draw.fault_targets(self.plan, self.seed, number, fault.servers, fault.share)
        ]

    def record_fault(self, text: str) -> None:
        self.write_row({"e": "fault", "t": Environment.clock_ns(), "text": text})
        self.send_event(ev="fault", text=text)

    async def run_fault(self, fault: plans.Fault, targets: list[Server]) -> None:
        indexes = ", ".join(str(server.index) for server in targets)
        if isinstance(fault, plans.KillFault):
            self.record_fault(f"servers {indexes} killed")
            await asyncio.gather(*(self.restart_killed(server, fault) for server in targets))
        elif isinstance(fault, plans.SlowFault):
            factors = [draw.uniform_between(*fault.times, self.seed, "slow", s.index) for s in targets]
            self.record_fault(f"servers {indexes} slow ({', '.join(f'{f:.1f}x' for f in factors)})")
            for server, factor in zip(targets, factors, strict=True):
                server.slowness = factor
            await asyncio.sleep(fault.for_s)
            for server in targets:
                server.slowness = 1.0
            self.record_fault(f"servers {indexes} as fast as before")
        elif isinstance(fault, plans.DrainFault):
            self.record_fault(f"servers {indexes} draining")
            for server in targets:
                server.draining = True
                self.fleet.change(server.id, **self.entry(server, "DRAINING"))
            await asyncio.sleep(fault.for_s)
            for server in targets:
                server.stop("restarted")
                await self.restart_server(server, False)
            self.record_fault(f"servers {indexes} back, cold")
        elif isinstance(fault, plans.LimiterFault):
            await self.signal_limiter(fault)
        elif isinstance(fault, plans.CounterFault):
            await self.run_counter_fault(fault)
        elif isinstance(fault, plans.PeersFault):
            await self.run_peers_fault(fault)
        elif isinstance(fault, plans.DiscoveryFault):
            await self.run_discovery_fault(fault)
        elif isinstance(fault, plans.LinkFault):
            await self.run_link_fault(fault)

    async def restart_killed(self, server: Server, fault: plans.KillFault) -> None:
        """Report a killed server to discovery after a delay, and restart it if the fault says so.

        A server that is back before that delay is reported as deleted only if another id replaces it."""
        old = server.id
        notice_s = draw.uniform_between(*self.plan.fleet.delete_s, self.seed, "notice", server.index)
        back_s = fault.back_s
        if back_s is None or back_s > notice_s:
            await asyncio.sleep(notice_s)
            self.fleet.change(old, **self.entry(server, "DELETED"))
            if back_s is None:
                return
            await asyncio.sleep(back_s - notice_s)
        else:
            await asyncio.sleep(back_s)
        await self.restart_server(server, fault.replaced)
        if server.id != old and old in self.fleet.entries:
            self.fleet.change(old, **{**self.entry(server, "DELETED"), "instanceId": old})
        self.record_fault(f"server {server.index} back, cold")

    async def restart_server(self, server: Server, replaced: bool) -> None:
        id = self.server_id(server.index, server.incarnation) if replaced else server.id
        await server.start(id, self.plan.limiters.count, cold=True)
        await asyncio.sleep(REGISTRATION_DELAY_S)
        self.fleet.change(server.id, **self.entry(server))

    async def signal_limiter(self, fault: plans.LimiterFault) -> None:
        addresses: dict[str, Any] = {}
        n = fault.limiter
        if fault.signal == "HUP":
            await self.agents[n].change_address()
            if self.counter:
                await self.counter.change_address(n)
            addresses = {"discovery": self.discovery_port(n), "counter": self.counter_port(n)}
        self.record_fault(f"limiter {n}: {fault.signal}")
        self.send_event(ev="limiter", l=n, signal=fault.signal, back_s=fault.back_s, **addresses)

    async def run_counter_fault(self, fault: plans.CounterFault) -> None:
        if self.counter is None:
            return
        self.record_fault(f"counter {fault.mode}")
        await self.counter.set_mode(fault.mode, fault.late_ms / 1000, fault.age_s, fault.sides)
        if fault.mode not in ("fresh", "snapshot"):
            remaining_s = fault.for_s
            while fault.flaps and remaining_s > fault.flap_s:
                await asyncio.sleep(fault.flap_s)
                remaining_s -= fault.flap_s
                for limiter in fault.flaps:
                    self.counter.switch_side(limiter)
                self.record_fault(f"counter: limiters {', '.join(map(str, fault.flaps))} change sides")
            await asyncio.sleep(remaining_s)
            await self.counter.set_mode("ok")
            self.record_fault("counter well again")

    async def run_peers_fault(self, fault: plans.PeersFault) -> None:
        if self.datagrams is None:
            return
        isolated = [(limiter,) for limiter in range(self.plan.limiters.count)]
        self.datagrams.partitions = tuple(frozenset(side) for side in fault.sides or isolated)
        self.record_fault("datagrams between limiters cut")
        await asyncio.sleep(fault.for_s)
        self.datagrams.partitions = ()
        self.record_fault("datagrams between limiters go again")

    async def run_discovery_fault(self, fault: plans.DiscoveryFault) -> None:
        agents = self.agents if fault.limiter is None else [self.agents[fault.limiter]]
        self.record_fault(f"discovery {fault.mode}")
        for agent in agents:
            agent.set_silent(True)
            if fault.mode == "down":
                agent.close()
        await asyncio.sleep(fault.for_s)
        for agent in agents:
            if fault.mode == "down":
                await agent.start(agent.port)
            agent.set_silent(False)
        self.record_fault("discovery well again")

    async def run_link_fault(self, fault: plans.LinkFault) -> None:
        key = (fault.to, fault.limiter, (fault.server or 0) if fault.to == "server" else 0)
        proxy = self.proxies[key]
        target = f"server {fault.server}" if fault.to == "server" else fault.to
        self.record_fault(f"link of limiter {fault.limiter} to {target}: {fault.mode}")
        if fault.to == "desks":
            until_ns = Environment.clock_ns() + round((fault.for_s + 1) * 1e9)
            excuse = {"e": "excuse", "t": Environment.clock_ns(), "l": fault.limiter, "until": until_ns}
            self.write_row(excuse | ({"garbled": True} if fault.mode == "garbage" else {}))
        proxy.set_mode(fault.mode, fault.delay_ms / 1000, fault.byte)
        await asyncio.sleep(fault.for_s)
        proxy.set_mode("pass")
        self.record_fault(f"link of limiter {fault.limiter} to {target} well again")


class WorldWorker:
    """Executes the orders that the orchestrator sends to this process."""

    world: World
    recorder: Recorder
    lag: LagMonitor

    async def handle_order(self, pipe: WorkerPipe, order: dict[str, Any]) -> bool:
        if order["op"] == "start":
            Environment.host = order["host"]
            plan = msgspec.convert(order["plan"], plans.Plan)
            self.recorder = Recorder(order["part"])
            self.world = World(plan, order["seed"], self.recorder, pipe.send_event)
            pipe.send_event(ev="ready", **await self.world.start(order["limiters"], order["words"]))
            self.lag = LagMonitor(self.world.loop, "world", self.world.write_row)
        elif order["op"] == "go":
            self.world.schedule_faults(order["start_ns"])
        elif order["op"] == "known":
            known = self.world.agents[order["l"]].known_list(notified=True)
            pipe.send_event(ev="known", l=order["l"], known=known)
        elif order["op"] == "end":
            self.lag.close()
            self.world.close()
            self.recorder.close()
            pipe.send_event(ev="ended")
            return False
        return True


if __name__ == "__main__":
    sys.exit(run_worker("world", WorldWorker().handle_order))
