"""Simulated agents, engines and an origin in memory, driven by a manual clock."""

from collections import Counter
from datetime import timedelta
from random import Random

from shallotpath.config import ModelVersion, Service, ServiceKind, StaticConfiguration
from shallotpath.core import (
    ChunkMap,
    EngineObserved,
    ManualClock,
    Node,
    Send,
    Tick,
    WeightsStatus,
    sha256_hex,
)
from shallotpath.membership import Member, MemberState, Role, StaticMembership
from shallotpath.weights import (
    MANIFEST_INDEX,
    ORIGIN,
    ChunkCorrupt,
    ChunkFailed,
    ChunkMapReceived,
    ChunkRefused,
    ChunksPresent,
    ChunkStored,
    EngineOrders,
    Manifest,
    ManifestReceived,
    OrderDone,
    OrderFenced,
    OrderKind,
    OrderRejected,
    OrderUnknown,
    Rollout,
    TransferLimits,
    TransferPlan,
    WeightsStatusReceived,
)

CHUNK_BYTES = 8
STEP = timedelta(milliseconds=200)


def content(seed, index):
    """Return the content of a chunk; equal seeds and indices give equal chunks."""
    return Random(f"{seed}/{index}").randbytes(CHUNK_BYTES)


def make_version(version, seeds):
    """Return the manifest of a version with one chunk for each seed."""
    digests = [sha256_hex(content(seed, index)) for index, seed in enumerate(seeds)]
    return Manifest("m", version, CHUNK_BYTES * len(seeds), CHUNK_BYTES, digests)


class FakeEngine:
    """Store chunks in memory and carry out orders at once, unless a fault is set."""

    def __init__(self, digest="old", checks_fencing=True, memory=10_000):
        self.digest = self.boot_digest = digest
        self.checks_fencing = checks_fencing
        self.memory = memory
        self.incarnation = "e1"
        self.fencing = 0
        self.staged = {}
        self.manifests = {}
        self.lose_answers = 0
        self.delayed_orders = []
        self.delay_orders = False
        self.running = 0
        self.incomplete_orders = 0

    def restart(self):
        """Start a new incarnation with the boot version and no chunks."""
        self.incarnation += "+"
        self.digest = self.boot_digest
        self.staged, self.manifests = {}, {}

    def state(self):
        """Return what the agent observes of this engine."""
        return EngineObserved(
            self.incarnation,
            self.digest,
            False,
            self.running,
            0,
            self.memory,
            self.fencing,
            self.checks_fencing,
        )

    def stage(self, manifest):
        """Take over chunks held under other versions and return the indices held."""
        known = {
            self.manifests[digest].chunks[index]: chunk
            for digest, chunks in self.staged.items()
            for index, chunk in chunks.items()
        }
        self.manifests[manifest.digest] = manifest
        chunks = self.staged.setdefault(manifest.digest, {})
        for index, digest in enumerate(manifest.chunks):
            if digest in known:
                chunks.setdefault(index, known[digest])
        return sorted(chunks)

    def verified(self, digest):
        """Check whether all chunks of a version are held and match their digests."""
        manifest = self.manifests.get(digest)
        chunks = self.staged.get(digest, {})
        return manifest is not None and all(
            index in chunks and sha256_hex(chunks[index]) == expected
            for index, expected in enumerate(manifest.chunks)
        )

    def order(self, order):
        """Carry out an order and return the event that reports its outcome."""
        if self.checks_fencing and order.fencing < self.fencing:
            return OrderFenced(order)
        self.fencing = max(self.fencing, order.fencing)
        if self.delay_orders:
            self.delayed_orders.append(order)
            return OrderUnknown(order)
        if order.kind is OrderKind.UNLOAD:
            self.staged.pop(order.digest, None)
        elif not self.verified(order.digest):
            self.incomplete_orders += 1
            return OrderRejected(order)
        elif order.kind is OrderKind.SWITCH:
            self.digest = order.digest
        if self.lose_answers:
            self.lose_answers -= 1
            return OrderUnknown(order)
        return OrderDone(order, self.digest, self.incarnation)


class Agent:
    """Connect the plan, orders and rollout of one VM with its engine."""

    def __init__(self, swarm, member_id, engine, limits, settle_time):
        self.swarm, self.id, self.engine = swarm, member_id, engine
        common = {
            "member_id": member_id,
            "service": "s",
            "configuration": swarm.configuration,
            "membership": swarm.membership,
            "random": Random(f"{swarm.seed}/{member_id}"),
        }
        self.plan = TransferPlan(limits=limits, **common)
        self.orders = EngineOrders(random=common["random"], settle_time=settle_time)
        self.rollout = Rollout(
            incarnation="1", plan=self.plan, orders=self.orders, **common
        )
        self.node = Node(member_id, [self.plan, self.orders, self.rollout])
        self.paused = False
        self.unloaded = False

    def dispatch(self, event):
        """Reduce an event and route the messages that it causes."""
        now = self.swarm.clock.now()
        for effect in self.node.reduce(event, now):
            if isinstance(effect, Send):
                self.swarm.route(self.id, effect)

    def control_engine(self):
        """Observe the engine and take the next step that the rollout permits."""
        now = self.swarm.clock.now()
        self.dispatch(self.engine.state())
        if self.orders.engine_ is None or self.orders.superseded_:
            return
        permission = self.rollout.permission(now)
        plan = self.plan
        if permission.drain and not plan.staged_ and not self.unloaded:
            order = None
            if not self.engine.running:
                order = self.orders.unload(self.engine.digest, now)
            if order is None:
                return
            self.dispatch(self.engine.order(order))
            self.unloaded = True
        if permission.transfer and plan.manifest_ and not plan.staged_:
            present = self.engine.stage(plan.manifest_)
            self.dispatch(ChunksPresent(plan.digest, present))
        if self.orders.recheck_:
            self.recheck()
            return
        order = self.orders.next_order(
            plan.digest,
            complete=plan.complete,
            may_switch=permission.switch,
            now=now,
        )
        if order is not None:
            self.dispatch(self.engine.order(order))

    def recheck(self):
        """Read the staged chunks back and report those that match."""
        chunks = self.engine.staged.get(self.plan.digest, {})
        good = [i for i, c in chunks.items() if self.plan.manifest_.matches(i, c)]
        self.orders.rechecked()
        self.dispatch(ChunksPresent(self.plan.digest, good))


class Swarm:
    """Run agents in steps of a manual clock, with faults that a test can set."""

    def __init__(
        self,
        count=6,
        *,
        regions=("a",),
        limits=None,
        settle_time=timedelta(seconds=30),
        min_ready=1,
        seed=1,
        **engine,
    ):
        self.clock = ManualClock()
        self.seed = seed
        self.configuration = StaticConfiguration()
        self.membership = StaticMembership()
        self.limits = limits or TransferLimits(
            chunk_timeout=timedelta(seconds=2), stall_timeout=timedelta(seconds=6)
        )
        self.settle_time = settle_time
        self.min_ready = min_ready
        self.engine_options = engine
        self.origin = {}
        self.origin_down = False
        self.corrupt = lambda source, receiver, index: False
        self.stalled = lambda source, receiver, index: False
        # Keyed by whether the origin sent the chunk.
        self.chunks_by_from_origin = Counter()
        self.crossings_by_index = Counter()
        self.agents = {}
        for index in range(count):
            self.add(f"vm-{index}", regions[index % len(regions)])

    def add(self, member_id, region):
        self.membership.members_by_id[member_id] = Member(
            member_id, Role.AGENT, region, region, member_id, "1", service="s"
        )
        engine = FakeEngine(**self.engine_options)
        self.agents[member_id] = Agent(
            self, member_id, engine, self.limits, self.settle_time
        )

    def publish(self, version, seeds, region="a"):
        """Publish a version on the origin and return its digest."""
        manifest = make_version(version, seeds)
        self.origin[version] = (manifest, list(seeds))
        self.configuration.versions_by_id[f"m/{version}"] = ModelVersion(
            "m", version, manifest.digest, manifest.size, CHUNK_BYTES, region
        )
        return manifest.digest

    def deploy(self, version, **options):
        """Set the version that the service runs."""
        self.configuration.services_by_id["s"] = Service(
            "s",
            ServiceKind.MODEL,
            "m",
            version,
            **{"min_ready": self.min_ready, **options},
        )

    def kill(self, member_id):
        """Remove an agent and mark its member as dead."""
        del self.agents[member_id]
        member = self.membership.members_by_id[member_id]
        self.membership.members_by_id[member_id] = Member(
            member.id,
            member.role,
            member.domain,
            member.region,
            member.address,
            "1",
            MemberState.DEAD,
            "s",
        )

    def route(self, sender, effect):
        """Deliver a message unless its sender or receiver is paused or gone."""
        agent = self.agents.get(effect.peer)
        if agent is None or agent.paused or self.agents[sender].paused:
            return
        match effect.message:
            case ChunkMap() as message:
                bitmap = int.from_bytes(message.bitmap, "little")
                staged = bool(message.bitmap)
                agent.dispatch(
                    ChunkMapReceived(
                        sender, message.digest, bitmap, message.count, staged
                    )
                )
            case WeightsStatus() as message:
                agent.dispatch(
                    WeightsStatusReceived(sender, message.digest, message.entries)
                )

    def step(self, transfer=True):
        """Advance the clock by one step and transfer the requested chunks."""
        now = self.clock.advance(STEP)
        running = [agent for agent in self.agents.values() if not agent.paused]
        for agent in running:
            agent.dispatch(Tick())
            agent.control_engine()
        asked = [
            (agent, request)
            for agent in running
            for request in agent.plan.next_requests(now)
        ]
        for agent, request in asked if transfer else []:
            self.deliver(agent, request)

    def run(self, until, seconds=120):
        """Step until a condition holds and return whether it did in time."""
        for _ in range(int(seconds / STEP.total_seconds())):
            self.step()
            if until():
                return True
        return False

    def deliver(self, agent, request):
        """Report the outcome of a request, or nothing on a stalled link."""
        source, index = request.peer, request.index
        key = (request.digest, index, source)
        if self.stalled(source, agent.id, index):
            return
        payload = self.read(agent, source, request)
        if payload is None:
            failed = source == ORIGIN
            agent.dispatch(ChunkFailed(*key) if failed else ChunkRefused(*key))
        elif index == MANIFEST_INDEX:
            if payload.digest == request.digest:
                agent.dispatch(ManifestReceived(payload))
            else:
                agent.dispatch(ChunkFailed(*key))
        else:
            self.store(agent, request, payload, key)

    def store(self, agent, request, payload, key):
        """Store a chunk at the agent's engine if the plan accepts it."""
        if self.corrupt(request.peer, agent.id, request.index):
            payload = bytes([payload[0] ^ 1]) + payload[1:]
        self.chunks_by_from_origin[request.peer == ORIGIN] += 1
        if self.region(request.peer) not in (None, self.region(agent.id)):
            self.crossings_by_index[request.index] += 1
        if not agent.plan.accepts(request.digest, request.index, payload):
            agent.dispatch(ChunkCorrupt(*key))
        elif request.digest in agent.engine.staged:
            agent.engine.staged[request.digest][request.index] = payload
            agent.dispatch(ChunkStored(*key))
        else:
            agent.dispatch(ChunkRefused(*key))

    def region(self, member_id):
        member = self.membership.members_by_id.get(member_id)
        return member.region if member else None

    def read(self, agent, source, request):
        """Return the requested chunk or manifest, or None if it is refused."""
        if source == ORIGIN:
            return self.read_origin(agent, request.index)
        peer = self.agents.get(source)
        if peer is None or peer.paused:
            return None
        digest, index = request.digest, request.index
        if index == MANIFEST_INDEX:
            return peer.plan.manifest_ if peer.plan.digest == digest else None
        if peer.plan.may_upload(agent.id, digest, index, self.clock.now()):
            return peer.engine.staged[digest][index]
        return None

    def read_origin(self, agent, index):
        if self.origin_down:
            return None
        manifest, seeds = self.origin[agent.plan.target_.version]
        return manifest if index == MANIFEST_INDEX else content(seeds[index], index)

    def serving(self, digest):
        """Return the number of engines that serve a digest."""
        return sum(agent.engine.digest == digest for agent in self.agents.values())

    def all_serve(self, digest):
        """Return a condition for `run`: whether all engines serve a digest."""
        return lambda: self.serving(digest) == len(self.agents)
