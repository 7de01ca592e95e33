"""The world's process: servers, counter, discovery agents, proxies, and the timeline of faults.

Started by the orchestrator; takes orders on standard input and tells events on standard output.
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
from hookport.rehearsal.loops import Lag, Orders, Place, work
from hookport.rehearsal.standins import Agent, Counter, Fleet, Model, Post, Proxy, Server
from hookport.rehearsal.standins.server import Job, Told

NEW_START_S = 0.05  # from the start of a server's process until discovery knows of it


class World:
    """All stand-ins of one evening but for the clients."""

    def __init__(self, plan: plans.Plan, seed: int, recorder: Recorder, tell: Callable[..., None]) -> None:
        self.plan, self.seed, self.recorder, self.tell = plan, seed, recorder, tell
        self.loop = asyncio.get_running_loop()
        self.note = recorder.record
        self.arrivals = draw.arrivals(plan, seed)
        self.fleet = Fleet()
        self.servers: list[Server] = []
        self.agents: list[Agent] = []
        self.counter: Counter | None = None
        self.post: Post | None = None
        self.proxies: dict[tuple[str, int, int], Proxy] = {}
        self.limiter_ports: list[int] = []
        self.start_ns = 0
        self.lost = 0
        self.waiting = [n for n, fault in enumerate(plan.fault) if fault.when]
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, limiter_ports: list[int], word_ports: list[int]) -> dict[str, Any]:
        """Listen everywhere; returns the addresses that limiters and desks are to use."""
        plan, seed, limiters = self.plan, self.seed, self.plan.limiters.count
        self.limiter_ports = limiter_ports
        fleet = plan.fleet
        mean_ms = sum(kind.work_ms for kind in plan.classes) / len(plan.classes)
        for n in range(fleet.servers):
            model = Model(
                cores=fleet.cores,
                speed=draw.between(*fleet.speed, seed, "speed", n),
                queue=fleet.queue_per_core * fleet.cores,
                cold_from=fleet.cold_from,
                cold_s=fleet.cold_s,
                fall_multiple=fleet.fall_multiple,
                fall_s=fleet.fall_s,
                cancel=fleet.cancel,
                connections=fleet.connections,
                idle_s=fleet.idle_s,
                error_share=fleet.error_share,
                mean_work_s=mean_ms / 1000,
            )
            server = Server(self.loop, n, model, self.look_up, self.note, self.happened)
            await server.start(self.server_id(n, 0), limiters)
            self.servers.append(server)
        for limiter in range(limiters):
            delay_s = draw.between(*plan.discovery.delay_s, seed, "agent", limiter)
            within_s = plan.discovery.told_within_s
            place = functools.partial(self.place, limiter=limiter)
            self.agents.append(Agent(self.loop, limiter, delay_s, place, self.note, within_s))
            await self.agents[limiter].start()
        if plan.counter.present:
            told = plan.counter
            self.counter = Counter(self.loop, told.parts, told.per_s, told.line, self.answer_lost)
            await self.counter.start(limiters)
            if any(isinstance(f, plans.CounterFault) and f.mode == "snapshot" for f in plan.fault):
                self.counter.keep()
        peers: list[list[str]] = []
        if plan.peers.allowed:
            least_ms, most_ms = plan.peers.delay_ms
            drawn = functools.partial(draw.uniform, seed)
            self.post = Post(self.loop, plan.peers.loss, (least_ms / 1000, most_ms / 1000), drawn)
            peers = await self.post.start(word_ports)
        for fault in plan.fault:
            if isinstance(fault, plans.Link):
                await self.proxy(fault)
        self.fleet.agents = self.agents
        self.fleet.add(*(self.entry(server) for server in self.servers))
        return {
            "discovery": [self.discovery_port(n) for n in range(limiters)],
            "counter": [self.counter_port(n) for n in range(limiters)],
            "fronts": [self.front_port(n) for n in range(limiters)],
            "known": [self.agents[n].known() for n in range(limiters)],
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
                self.note({"e": "counts", "t": Place.clock_ns(), "l": limiter, "calls": calls})
            self.counter.close()
        if self.post:
            figures = zip(self.post.sent, self.post.largest, self.post.busiest, strict=True)
            for limiter, (sent, largest, busiest) in enumerate(figures):
                self.note({"e": "words", "t": Place.clock_ns(), "l": limiter, "sent": sent,
                           "largest": largest, "busiest": busiest})  # fmt: skip
            self.post.close()

    # Who is where

    def server_id(self, index: int, life: int) -> str:
        return f"s-{index:02d}-{int(draw.uniform(self.seed, 'id', index, life) * (1 << 32)):08x}"

    def entry(self, server: Server, lifecycle: str = "SERVING") -> dict[str, Any]:
        return {
            "instanceId": server.id,
            "index": server.index,
            "zone": f"hall-{server.index % self.plan.fleet.zones}",
            "machineType": "desk",
            "cell": server.index // 4,
            "lifecycle": lifecycle,
            "weight": float(server.model.cores),
            "startedAtMs": server.born_ms,
        }

    def place(self, entry: dict[str, Any], limiter: int) -> str:
        index = entry["index"]
        proxy = self.proxies.get(("server", limiter, index))
        return f"{Place.host}:{proxy.port if proxy else self.servers[index].ports[limiter]}"

    def discovery_port(self, limiter: int) -> int:
        proxy = self.proxies.get(("discovery", limiter, 0))
        return proxy.port if proxy else self.agents[limiter].port

    def counter_port(self, limiter: int) -> int:
        proxy = self.proxies.get(("counter", limiter, 0))
        return proxy.port if proxy else (self.counter.ports[limiter] if self.counter else 0)

    def front_port(self, limiter: int) -> int:
        proxy = self.proxies.get(("desks", limiter, 0))
        return proxy.port if proxy else self.limiter_ports[limiter]

    async def proxy(self, fault: plans.Link) -> None:
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

    # What requests are

    def look_up(self, id: str) -> Told | None:
        """What the plan says of a request that came to a server; None if no client sent it."""
        found = draw.request_of(self.seed, id)
        if found is None or found[0] >= len(self.arrivals):
            return None
        arrival = self.arrivals[found[0]]
        work_ms = round(draw.work_ms(self.plan, self.seed, arrival.kind, arrival.units, arrival.number), 3)
        share = self.plan.fleet.error_share
        return Told(
            work_s=work_ms / 1000,
            unsafe=self.plan.classes[arrival.kind].repeat != "safe",
            fails=share > 0 and draw.uniform(self.seed, "error", id) < share,
        )

    def answer_lost(self) -> bool:
        share = self.plan.counter.lost_share
        if share <= 0:
            return False
        self.lost += 1
        return draw.uniform(self.seed, "lost", self.lost) < share

    # The timeline

    def begin(self, start_ns: int) -> None:
        self.start_ns = start_ns
        for number, fault in enumerate(self.plan.fault):
            if fault.at_s is not None:
                self.later(fault.at_s, number)

    def later(self, at_s: float, number: int) -> None:
        wait_s = (self.start_ns - Place.clock_ns()) / 1e9 + at_s
        self.loop.call_later(max(0.0, wait_s), self.go, number, None)

    def happened(self, event: str, server: Server, job: Job) -> None:
        """An event at a server: it may be what a fault waits for."""
        if not self.waiting or not self.start_ns:
            return
        now_s = (Place.clock_ns() - self.start_ns) / 1e9
        for number in list(self.waiting):
            when = self.plan.fault[number].when
            if when and when.event == event and now_s >= when.after_s and when.server in (None, server.index):
                self.waiting.remove(number)
                self.go(number, server, job)

    def go(self, number: int, server: Server | None, job: Job | None = None) -> None:
        """Begin a fault at once; what takes time goes on by itself."""
        fault = self.plan.fault[number]
        targets = self.targets(number, server)
        if isinstance(fault, plans.Kill):  # now, not a turn of the loop later: the event is the cause
            for target in targets:
                target.stop("killed")
        if isinstance(fault, plans.Limiter) and job is not None:
            fault = msgspec.structs.replace(fault, limiter=job.limiter)  # the one that sent it
        task = self.loop.create_task(self.do(fault, targets))
        self.tasks.add(task)
        task.add_done_callback(self.done)

    def done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.tell(ev="failed", why=f"a fault of the timeline: {type(error).__name__}: {error}")

    def targets(self, number: int, server: Server | None) -> list[Server]:
        fault = self.plan.fault[number]
        if not isinstance(fault, plans.Kill | plans.Slow | plans.Drain):
            return []
        if server is not None and not fault.servers and not fault.share:
            return [server]
        return [
            self.servers[n] for n in draw.chosen(self.plan, self.seed, number, fault.servers, fault.share)
        ]

    def mark(self, text: str) -> None:
        self.note({"e": "fault", "t": Place.clock_ns(), "text": text})
        self.tell(ev="fault", text=text)

    async def do(self, fault: plans.Fault, targets: list[Server]) -> None:
        who = ", ".join(str(server.index) for server in targets)
        if isinstance(fault, plans.Kill):
            self.mark(f"servers {who} killed")
            await asyncio.gather(*(self.bury(server, fault) for server in targets))
        elif isinstance(fault, plans.Slow):
            factors = [draw.between(*fault.times, self.seed, "slow", s.index) for s in targets]
            self.mark(f"servers {who} slow ({', '.join(f'{f:.1f}x' for f in factors)})")
            for server, factor in zip(targets, factors, strict=True):
                server.slowness = factor
            await asyncio.sleep(fault.for_s)
            for server in targets:
                server.slowness = 1.0
            self.mark(f"servers {who} as fast as before")
        elif isinstance(fault, plans.Drain):
            self.mark(f"servers {who} draining")
            for server in targets:
                server.draining = True
                self.fleet.change(server.id, **self.entry(server, "DRAINING"))
            await asyncio.sleep(fault.for_s)
            for server in targets:
                server.stop("restarted")
                await self.revive(server, False)
            self.mark(f"servers {who} back, cold")
        elif isinstance(fault, plans.Limiter):
            await self.signal(fault)
        elif isinstance(fault, plans.CounterFault):
            await self.disturb_counter(fault)
        elif isinstance(fault, plans.PeersFault):
            await self.disturb_peers(fault)
        elif isinstance(fault, plans.DiscoveryFault):
            await self.disturb_discovery(fault)
        elif isinstance(fault, plans.Link):
            await self.disturb_link(fault)

    async def bury(self, server: Server, fault: plans.Kill) -> None:
        """Discovery notices late that a server has died, or that it is back before it noticed."""
        old = server.id
        notice_s = draw.between(*self.plan.fleet.delete_s, self.seed, "notice", server.index)
        back_s = fault.back_s
        if back_s is None or back_s > notice_s:
            await asyncio.sleep(notice_s)
            self.fleet.change(old, **self.entry(server, "DELETED"))
            if back_s is None:
                return
            await asyncio.sleep(back_s - notice_s)
        else:
            await asyncio.sleep(back_s)
        await self.revive(server, fault.replaced)
        if server.id != old and old in self.fleet.entries:
            self.fleet.change(old, **{**self.entry(server, "DELETED"), "instanceId": old})
        self.mark(f"server {server.index} back, cold")

    async def revive(self, server: Server, replaced: bool) -> None:
        id = self.server_id(server.index, server.life) if replaced else server.id
        await server.start(id, self.plan.limiters.count, cold=True)
        await asyncio.sleep(NEW_START_S)
        self.fleet.change(server.id, **self.entry(server))

    async def signal(self, fault: plans.Limiter) -> None:
        told: dict[str, Any] = {}
        n = fault.limiter
        if fault.signal == "HUP":
            await self.agents[n].move()
            if self.counter:
                await self.counter.move(n)
            told = {"discovery": self.discovery_port(n), "counter": self.counter_port(n)}
        self.mark(f"limiter {n}: {fault.signal}")
        self.tell(ev="limiter", l=n, signal=fault.signal, back_s=fault.back_s, **told)

    async def disturb_counter(self, fault: plans.CounterFault) -> None:
        if self.counter is None:
            return
        self.mark(f"counter {fault.mode}")
        await self.counter.set(fault.mode, fault.late_ms / 1000, fault.age_s, fault.sides)
        if fault.mode not in ("fresh", "snapshot"):
            left_s = fault.for_s
            while fault.flaps and left_s > fault.flap_s:
                await asyncio.sleep(fault.flap_s)
                left_s -= fault.flap_s
                for limiter in fault.flaps:
                    self.counter.flap(limiter)
                self.mark(f"counter: limiters {', '.join(map(str, fault.flaps))} change sides")
            await asyncio.sleep(left_s)
            await self.counter.set("ok")
            self.mark("counter well again")

    async def disturb_peers(self, fault: plans.PeersFault) -> None:
        if self.post is None:
            return
        alone = [(limiter,) for limiter in range(self.plan.limiters.count)]
        self.post.sides = tuple(frozenset(side) for side in fault.sides or alone)
        self.mark("datagrams between limiters cut")
        await asyncio.sleep(fault.for_s)
        self.post.sides = ()
        self.mark("datagrams between limiters go again")

    async def disturb_discovery(self, fault: plans.DiscoveryFault) -> None:
        agents = self.agents if fault.limiter is None else [self.agents[fault.limiter]]
        self.mark(f"discovery {fault.mode}")
        for agent in agents:
            agent.set_silent(True)
            if fault.mode == "down":
                agent.close()
        await asyncio.sleep(fault.for_s)
        for agent in agents:
            if fault.mode == "down":
                await agent.start(agent.port)
            agent.set_silent(False)
        self.mark("discovery well again")

    async def disturb_link(self, fault: plans.Link) -> None:
        key = (fault.to, fault.limiter, (fault.server or 0) if fault.to == "server" else 0)
        proxy = self.proxies[key]
        what = f"server {fault.server}" if fault.to == "server" else fault.to
        self.mark(f"link of limiter {fault.limiter} to {what}: {fault.mode}")
        if fault.to == "desks":
            until_ns = Place.clock_ns() + round((fault.for_s + 1) * 1e9)
            excuse = {"e": "excuse", "t": Place.clock_ns(), "l": fault.limiter, "until": until_ns}
            self.note(excuse | ({"garbled": True} if fault.mode == "garbage" else {}))
        proxy.set(fault.mode, fault.delay_ms / 1000, fault.byte)
        await asyncio.sleep(fault.for_s)
        proxy.set("pass")
        self.mark(f"link of limiter {fault.limiter} to {what} well again")


class Work:
    """The orders of the orchestrator to this process."""

    world: World
    recorder: Recorder
    lag: Lag

    async def take(self, orders: Orders, order: dict[str, Any]) -> bool:
        if order["op"] == "start":
            Place.host = order["host"]
            plan = msgspec.convert(order["plan"], plans.Plan)
            self.recorder = Recorder(order["part"])
            self.world = World(plan, order["seed"], self.recorder, orders.tell)
            orders.tell(ev="ready", **await self.world.start(order["limiters"], order["words"]))
            self.lag = Lag(self.world.loop, "world", self.world.note)
        elif order["op"] == "go":
            self.world.begin(order["start_ns"])
        elif order["op"] == "known":
            known = self.world.agents[order["l"]].known(told=True)
            orders.tell(ev="known", l=order["l"], known=known)
        elif order["op"] == "end":
            self.lag.close()
            self.world.close()
            self.recorder.close()
            orders.tell(ev="ended")
            return False
        return True


if __name__ == "__main__":
    sys.exit(work("world", Work().take))
