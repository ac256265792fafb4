/** @file packet_agent_test.cpp Opaque flows: admission of openings, routing of packets, searches and resets. */
#include "packet_test.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

TEST_GROUP(PacketAgent) {};

TEST(PacketAgent, OpensAFlowAndTellsTheBalancer)
{
    PacketScene scene;
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
    scene.fromUpstream(makePacket(packetService, caller(1), OpeningFlag | AcknowledgingFlag, 1000, 1));
    CHECK_EQUAL(1, scene.actionsOf<SendToCaller>().size());
    const auto sends = scene.actionsOf<SendMessage>();
    CHECK_EQUAL(1, sends.size());
    CHECK(sends.front()->to == packetBalancer);
    CHECK(std::get<OpeningOutcome>(sends.front()->message).result == OpeningResult::Accepted);
}

TEST(PacketAgent, PacketsReachTheUpstreamUnchanged)
{
    PacketScene scene;
    scene.open(1);
    const Bytes packet = makePacket(caller(1), packetService, AcknowledgingFlag, 1, 1001, 600);
    scene.receive(packet);
    CHECK(scene.actionsOf<SendToUpstream>().front()->packet == packet);
}

TEST(PacketAgent, SaysBusyWhenNoSlotIsFreeAndFullWhenTheQueueIs)
{
    PacketScene scene;
    for (uint16_t port = 1; port <= 2; ++port) {
        scene.receive(makePacket(caller(port), packetService, OpeningFlag));
    }
    scene.receive(makePacket(caller(3), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Busy);
    for (uint16_t port = 4; port <= 6; ++port) {
        ForwardedPacket placed = scene.forwarded(makePacket(caller(port), packetService, OpeningFlag));
        placed.isPlaced = true;
        scene.actions.clear();
        scene.agent.onMessage(scene.now, placed, scene.actions);
        CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
    }
    scene.receive(makePacket(caller(7), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Full);
}

/** Failure pattern: thundering herd after a recovery. Answers to retransmissions are late already; originals may still be answered in time. */
TEST(PacketAgent, CopiesTakeFreeSlotsOnly)
{
    PacketScene scene;
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    scene.receive(makePacket(caller(2), packetService, OpeningFlag, 0, 2));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
    scene.receive(makePacket(caller(3), packetService, OpeningFlag, 0, 1));
    CHECK(scene.outcome() == OpeningResult::Full);
    scene.receive(makePacket(caller(4), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Busy);
}

TEST(PacketAgent, AnAnswerFreesItsSlot)
{
    PacketScene scene;
    scene.open(1);
    scene.open(2);
    scene.receive(makePacket(caller(3), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Busy);
    scene.fromUpstream(makePacket(packetService, caller(1), AcknowledgingFlag, 1001, 1, 500));
    scene.receive(makePacket(caller(3), packetService, OpeningFlag));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
}

TEST(PacketAgent, DrainingUpstreamKeepsItsFlowsAndTakesNoNewOnes)
{
    PacketScene scene;
    scene.open(1);
    CHECK(scene.report(2, 2, {}, true));
    scene.receive(makePacket(caller(2), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Refused);
    scene.receive(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 1001, 10));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
}

TEST(PacketAgent, DrainingZoneTakesNoNewFlow)
{
    PacketScene scene(0x0A010002, std::string(packetRules) + "zone a drain # t\n");
    scene.receive(makePacket(caller(2), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Refused);
}

TEST(PacketAgent, SilentUpstreamTakesNoNewFlowUntilItReports)
{
    PacketScene scene;
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    scene.advance(200ms); // The upstream leaves the opening packet unanswered for 200 ms.
    scene.receive(makePacket(caller(2), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Refused);
    CHECK(scene.report(2));
    scene.receive(makePacket(caller(2), packetService, OpeningFlag));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
}

/** Guards against opening flows at another service: 2 s after an upstream has ended, its address may belong to one. */
TEST(PacketAgent, NothingIsOpenedAtAnAddressWithoutASignOfLife)
{
    PacketScene scene;
    scene.advance(1950ms);
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Refused);
}

TEST(PacketAgent, UpstreamOfAnotherServiceGetsNothing)
{
    PacketScene scene;
    CHECK(scene.agent.onUpstreamReport(scene.now, { .id = "x", .service = "proofs", .started = 900'000, .sequence = 1, .slots = 2 }));
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Refused);
}

TEST(PacketAgent, LateReportsAndThoseOfEarlierLifetimesAreDropped)
{
    PacketScene scene;
    CHECK(scene.report(3));
    CHECK_FALSE(scene.report(2, 2, {}, true));
    CHECK(scene.report(1, 2, {}, false, "u2", 600'000));
    CHECK_FALSE(scene.report(9, 2, {}, true, "u1", 500'000));
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
}

/** If two upstreams answer copies of one opening packet, the caller's first acknowledgement decides which has the flow. */
TEST(PacketAgent, AFlowThatTheCallerOpenedElsewhereIsPassedOn)
{
    PacketScene scene;
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    scene.fromUpstream(makePacket(packetService, caller(1), OpeningFlag | AcknowledgingFlag, 1000, 1));
    ForwardedPacket other = scene.forwarded(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 500'001));
    other.candidates = { { 0x0A010003, 7000 } };
    scene.actions.clear();
    scene.agent.onMessage(scene.now, other, scene.actions);
    CHECK_EQUAL(0, scene.actionsOf<SendToUpstream>().size());
    CHECK(scene.actionsOf<SendMessage>().front()->to == (Address { 0x0A010003, 7000 }));
}

TEST(PacketAgent, AfterARestartTheUpstreamIsAskedByTheFirstPacket)
{
    PacketScene scene;
    const Bytes packet = makePacket(caller(9), packetService, AcknowledgingFlag, 1, 77, 20);
    scene.receive(packet);
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
    scene.fromUpstream(makePacket(packetService, caller(9), AcknowledgingFlag, 77, 21, 50));
    scene.receive(packet);
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
}

TEST(PacketAgent, AReturnedPacketOfAnUnknownFlowGoesOnWithoutItsMark)
{
    PacketScene scene;
    Bytes packet = makePacket(caller(9), packetService, AcknowledgingFlag, 1, 77, 20);
    scene.receive(packet);
    packet[8] |= ReturnedFlag;
    scene.fromUpstream(packet);
    CHECK_EQUAL(0, scene.actionsOf<SendToCaller>().size());
    scene.receive(makePacket(caller(9), packetService, AcknowledgingFlag, 1, 77, 20));
    CHECK_EQUAL(0, scene.actionsOf<SendToUpstream>().size()); // The agent knows that its upstream does not hold the flow.
}

TEST(PacketAgent, AReturnedPacketOfAnOpenFlowResetsItWithTheCallersNumber)
{
    PacketScene scene;
    scene.open(1);
    Bytes packet = makePacket(caller(1), packetService, AcknowledgingFlag, 1, 1001, 20);
    scene.receive(packet);
    packet[8] |= ReturnedFlag;
    scene.fromUpstream(packet);
    const auto back = scene.actionsOf<SendToCaller>();
    CHECK_EQUAL(1, back.size());
    const Segment reset = *scene.codec.parse(back.front()->packet.payload);
    CHECK(reset.isReset);
    CHECK_EQUAL(1001, reset.sequence);
    CHECK(reset.source == packetService);
    CHECK(reset.destination == caller(1));
}

TEST(PacketAgent, AReturnedOpeningIsReported)
{
    PacketScene scene;
    Bytes packet = makePacket(caller(1), packetService, OpeningFlag);
    scene.receive(packet);
    packet[8] |= ReturnedFlag;
    scene.fromUpstream(packet);
    CHECK(scene.outcome() == OpeningResult::Refused);
    CHECK_EQUAL(0, scene.agent.flowCount());
}

TEST(PacketAgent, OpeningsBeforeTheRulesAreHeldAndThenPlaced)
{
    platform::PacketCodec codec;
    SeededRandom random(1);
    NullEventSink events;
    PacketAgent agent({ .address = { 0x0A010002, 7000 }, .zone = "a", .service = "orders", .startedAt = 100s }, codec, random, events);
    Actions actions;
    const Bytes packet = makePacket(caller(1), packetService, OpeningFlag);
    agent.onMessage(100s, ForwardedPacket { .packet = { .flow = { caller(1), packetService }, .mark = PacketMark::Opening, .payload = packet }, .service = hashText("orders"), .balancer = packetBalancer }, actions);
    CHECK(std::holds_alternative<FetchSnapshot>(actions.front()));
    actions.clear();
    agent.onSnapshot(100s + 50ms, { .revision = revisionAt(5), .rules = makePatch({}, "", packetRules) }, actions);
    CHECK_EQUAL(1, actions.size());
    CHECK(std::get<SendToUpstream>(actions.front()).packet == packet);
}

namespace {

/** Gives the agent a balancer's reply with these peers; without any it confirms that the agent's view is complete. */
void receivePeers(PacketScene& scene, std::vector<MemberRecord> peers)
{
    scene.agent.onMessage(scene.now, AnnounceReply { .balancer = packetBalancer, .revision = revisionAt(5), .peers = std::move(peers) }, scene.actions);
}

MemberRecord peerRecord(uint32_t host)
{
    return { .address = { host, 7000 }, .role = MemberRole::Agent, .zone = "a", .service = "orders", .incarnation = 1, .version = 1, .state = MemberState::Ready, .slots = 2, .weight = 200 };
}

/** Lets these agents answer the search that they do not hold the flow. */
void denyFlow(PacketScene& scene, const FlowKey& flow, std::initializer_list<uint32_t> hosts)
{
    for (uint32_t host : hosts) {
        scene.agent.onMessage(scene.now, FlowQueryReply { flow, { host, 7000 }, {} }, scene.actions);
    }
}

/** Makes the agent search for the flow of this caller: its upstream and agent 3, the only candidate, do not hold it. */
void beginSearch(PacketScene& scene, uint16_t port)
{
    Bytes packet = makePacket(caller(port), packetService, AcknowledgingFlag, 1, 77, 20);
    scene.receive(packet);
    Bytes returned = packet;
    returned[8] |= ReturnedFlag;
    scene.fromUpstream(returned);
    ForwardedPacket forwarded = scene.forwarded(packet);
    forwarded.candidates = { { 3, 7000 } };
    forwarded.visited = 1; // Agent 3 has forwarded the packet.
    scene.actions.clear();
    scene.agent.onMessage(scene.now, forwarded, scene.actions);
    CHECK_EQUAL(1, scene.agent.counters().get(Counter::Searches));
}

} // namespace

/** Guards against a search that reset an open flow: the agent that held it had just joined, and the searching agent did not know it yet. */
TEST(PacketAgent, AFlowIsNotLostWhileAnAgentThatJustJoinedMayHoldIt)
{
    PacketScene scene;
    receivePeers(scene, { peerRecord(3) });
    receivePeers(scene, {});
    scene.advance(3s);
    CHECK(scene.report(2));
    const FlowKey flow { caller(9), packetService };
    beginSearch(scene, 9);
    denyFlow(scene, flow, { 3 });
    CHECK_EQUAL(0, scene.actionsOf<SendToCaller>().size());
    receivePeers(scene, { peerRecord(4) }); // The balancer's answer to the request for current members.
    scene.advance(100ms);
    receivePeers(scene, {});
    scene.actions.clear();
    scene.advance(300ms);
    denyFlow(scene, flow, { 3 });
    CHECK_EQUAL(0, scene.actionsOf<SendToCaller>().size());
    scene.agent.onMessage(scene.now, FlowQueryReply { flow, { 4, 7000 }, { 4, 7000 } }, scene.actions);
    CHECK(scene.actionsOf<SendMessage>().back()->to == (Address { 4, 7000 }));
    CHECK_EQUAL(0, scene.actionsOf<SendToCaller>().size());
}

TEST(PacketAgent, AFlowThatEveryAgentDeniesTwiceIsReset)
{
    PacketScene scene;
    receivePeers(scene, { peerRecord(3) });
    receivePeers(scene, {});
    scene.advance(3s);
    CHECK(scene.report(2));
    const FlowKey flow { caller(9), packetService };
    beginSearch(scene, 9);
    denyFlow(scene, flow, { 3 });
    scene.advance(100ms);
    receivePeers(scene, {});
    scene.advance(300ms);
    denyFlow(scene, flow, { 3 });
    CHECK_EQUAL(1, scene.actionsOf<SendToCaller>().size());
}

/**
 * Failure pattern: loss of power. An instance came back without its upstream and disappeared again; searches waited for its agent,
 * so that the flows of all others were reset 12 s late.
 */
TEST(PacketAgent, AnAgentWithoutAnUpstreamKeepsNobodyWaiting)
{
    PacketScene scene;
    receivePeers(scene, { peerRecord(3), peerRecord(4) });
    receivePeers(scene, {});
    scene.advance(1500ms);
    CHECK(scene.report(2));
    MemberRecord withoutUpstream = peerRecord(4);
    withoutUpstream.version += 1;
    withoutUpstream.state = MemberState::NoUpstream;
    receivePeers(scene, { withoutUpstream });
    receivePeers(scene, {});
    const FlowKey flow { caller(9), packetService };
    beginSearch(scene, 9);
    denyFlow(scene, flow, { 3 }); // Agent 4 has no upstream and is not queried.
    scene.advance(100ms);
    withoutUpstream.version += 1;
    withoutUpstream.liveness = Liveness::Gone;
    receivePeers(scene, { withoutUpstream });
    receivePeers(scene, {});
    scene.advance(300ms);
    denyFlow(scene, flow, { 3 });
    CHECK_EQUAL(1, scene.actionsOf<SendToCaller>().size());
}

TEST(PacketAgent, AnAgentWhoseUpstreamNeverAnswersIsSoonSureThatItHoldsNothing)
{
    PacketScene scene;
    PacketAgent agent({ .address = { 0x0A010005, 7000 }, .zone = "a", .service = "orders", .incarnation = 1'000'000, .slots = 2, .startedAt = scene.now }, scene.codec, scene.random, scene.events);
    agent.onSnapshot(scene.now, { .revision = revisionAt(5), .rules = makePatch({}, "", packetRules) }, scene.actions);
    const auto mayHoldFlow = [&](uint16_t port) {
        Actions actions;
        agent.onMessage(scene.now, FlowQuery { hashText("orders"), { caller(port), packetService }, { 3, 7000 } }, actions);
        return std::get<FlowQueryReply>(std::get<SendMessage>(actions.front()).message).mayHoldFlow;
    };
    CHECK(mayHoldFlow(1));
    for (uint16_t port = 1; port <= 3; ++port) {
        Actions actions;
        ForwardedPacket probeRequest = scene.forwarded(makePacket(caller(port), packetService, AcknowledgingFlag, 1, 77, 20));
        probeRequest.searcher = { 3, 7000 };
        agent.onMessage(scene.now, probeRequest, actions);
        CHECK_EQUAL(1, std::count_if(actions.begin(), actions.end(), [](const Action& action) { return std::holds_alternative<SendToUpstream>(action); }));
    }
    CHECK(mayHoldFlow(9)); // Three probes are unanswered, but the upstream may be a little slow.
    scene.now += 350ms;
    agent.tick(scene.now, scene.actions);
    CHECK_FALSE(mayHoldFlow(9));
    CHECK(agent.self().state == MemberState::NoUpstream);
    Actions actions;
    agent.onUpstreamPacket(scene.now, makePacket(caller(1), packetService, AcknowledgingFlag | ReturnedFlag, 1, 77, 20), actions);
    scene.now += 1s;
    CHECK(mayHoldFlow(9)); // The upstream returns packets, so it is there; its first report may be on its way.
    scene.now += 1200ms;
    agent.tick(scene.now, actions);
    CHECK(agent.self().state == MemberState::Shedding); // Its report is overdue, so it gets no flow; but it is there.
    CHECK(agent.onUpstreamReport(scene.now, { .id = "u1", .service = "orders", .started = 500'000, .sequence = 1, .slots = 2 }));
    agent.tick(scene.now, actions);
    CHECK(mayHoldFlow(9)); // There is an upstream after all, and it is older than this process.
    CHECK(agent.self().state == MemberState::Ready);
}

/**
 * An upstream that is about to start answers a probe by a reset. Forwarded to the caller, that reset ended a flow that was open at
 * another upstream.
 */
TEST(PacketAgent, AResetInAnswerToAProbeIsNoWordToTheCaller)
{
    PacketScene scene;
    ForwardedPacket probeRequest = scene.forwarded(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 77, 20));
    probeRequest.searcher = { 3, 7000 };
    scene.actions.clear();
    scene.agent.onMessage(scene.now, probeRequest, scene.actions);
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
    scene.fromUpstream(makePacket(packetService, caller(1), ResetFlag, 77, 21));
    CHECK_EQUAL(0, scene.actionsOf<SendToCaller>().size());
    const auto sends = scene.actionsOf<SendMessage>();
    CHECK_EQUAL(1, sends.size());
    CHECK(sends.front()->to == (Address { 3, 7000 }));
    CHECK_FALSE(std::get<FlowQueryReply>(sends.front()->message).owner.isValid());
}

TEST(PacketAgent, AnUpstreamMayResetItsOwnFlow)
{
    PacketScene scene;
    scene.open(1);
    scene.fromUpstream(makePacket(packetService, caller(1), ResetFlag, 1001, 1));
    CHECK_EQUAL(1, scene.actionsOf<SendToCaller>().size());
}

TEST(PacketAgent, BrokenBytesAreCountedAndDropped)
{
    PacketScene scene;
    ForwardedPacket forwarded = scene.forwarded(makePacket(caller(1), packetService, OpeningFlag));
    forwarded.packet.payload.resize(20);
    scene.actions.clear();
    scene.agent.onMessage(scene.now, forwarded, scene.actions);
    CHECK(scene.actions.empty());
    CHECK_EQUAL(1, scene.agent.counters().get(Counter::PayloadsMalformed));
}
