/** @file packet_agent_test.cpp Opaque flows: who takes an opening, where a packet goes, when a reset is true. */
#include "packet_test.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

TEST_GROUP(PacketAgent) {};

TEST(PacketAgent, OpensAFlowAndTellsTheBalancer)
{
    PacketScene scene;
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    CHECK_EQUAL(1, scene.of<SendToUpstream>().size());
    scene.fromUpstream(makePacket(packetService, caller(1), OpeningFlag | AcknowledgingFlag, 1000, 1));
    CHECK_EQUAL(1, scene.of<SendToCaller>().size());
    const auto sends = scene.of<SendMessage>();
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
    CHECK(scene.of<SendToUpstream>().front()->packet == packet);
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
        CHECK_EQUAL(1, scene.of<SendToUpstream>().size());
    }
    scene.receive(makePacket(caller(7), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Full);
}

/** Pattern: herd after recovery. Copies are late already; what is fresh may still be in time. */
TEST(PacketAgent, CopiesTakeFreeSlotsOnly)
{
    PacketScene scene;
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    scene.receive(makePacket(caller(2), packetService, OpeningFlag, 0, 2));
    CHECK_EQUAL(1, scene.of<SendToUpstream>().size());
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
    CHECK_EQUAL(1, scene.of<SendToUpstream>().size());
}

TEST(PacketAgent, DrainingUpstreamKeepsItsFlowsAndTakesNoNewOnes)
{
    PacketScene scene;
    scene.open(1);
    CHECK(scene.report(2, 2, {}, true));
    scene.receive(makePacket(caller(2), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Refused);
    scene.receive(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 1001, 10));
    CHECK_EQUAL(1, scene.of<SendToUpstream>().size());
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
    scene.advance(200ms); // The opening was not answered.
    scene.receive(makePacket(caller(2), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Refused);
    CHECK(scene.report(2));
    scene.receive(makePacket(caller(2), packetService, OpeningFlag));
    CHECK_EQUAL(1, scene.of<SendToUpstream>().size());
}

/** The address of an upstream that ended may be another service's after two seconds. */
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
    CHECK_EQUAL(1, scene.of<SendToUpstream>().size());
}

/** Two upstreams answered copies of one opening: the caller's first number decides. */
TEST(PacketAgent, AFlowThatTheCallerOpenedElsewhereIsPassedOn)
{
    PacketScene scene;
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    scene.fromUpstream(makePacket(packetService, caller(1), OpeningFlag | AcknowledgingFlag, 1000, 1));
    ForwardedPacket other = scene.forwarded(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 500'001));
    other.candidates = { { 0x0A010003, 7000 } };
    scene.actions.clear();
    scene.agent.onMessage(scene.now, other, scene.actions);
    CHECK_EQUAL(0, scene.of<SendToUpstream>().size());
    CHECK(scene.of<SendMessage>().front()->to == (Address { 0x0A010003, 7000 }));
}

TEST(PacketAgent, AfterARestartTheUpstreamIsAskedByTheFirstPacket)
{
    PacketScene scene;
    const Bytes packet = makePacket(caller(9), packetService, AcknowledgingFlag, 1, 77, 20);
    scene.receive(packet);
    CHECK_EQUAL(1, scene.of<SendToUpstream>().size());
    scene.fromUpstream(makePacket(packetService, caller(9), AcknowledgingFlag, 77, 21, 50));
    scene.receive(packet);
    CHECK_EQUAL(1, scene.of<SendToUpstream>().size());
}

TEST(PacketAgent, AReturnedPacketOfAnUnknownFlowGoesOnWithoutItsMark)
{
    PacketScene scene;
    Bytes packet = makePacket(caller(9), packetService, AcknowledgingFlag, 1, 77, 20);
    scene.receive(packet);
    packet[8] |= ReturnedFlag;
    scene.fromUpstream(packet);
    CHECK_EQUAL(0, scene.of<SendToCaller>().size());
    scene.receive(makePacket(caller(9), packetService, AcknowledgingFlag, 1, 77, 20));
    CHECK_EQUAL(0, scene.of<SendToUpstream>().size()); // It is known not to be here.
}

TEST(PacketAgent, AReturnedPacketOfAnOpenFlowResetsItWithTheCallersNumber)
{
    PacketScene scene;
    scene.open(1);
    Bytes packet = makePacket(caller(1), packetService, AcknowledgingFlag, 1, 1001, 20);
    scene.receive(packet);
    packet[8] |= ReturnedFlag;
    scene.fromUpstream(packet);
    const auto back = scene.of<SendToCaller>();
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
    agent.onSnapshot(100s + 50ms, { .revision = 5, .rules = makePatch(0, "", packetRules) }, actions);
    CHECK_EQUAL(1, actions.size());
    CHECK(std::get<SendToUpstream>(actions.front()).packet == packet);
}

namespace {

/** Gives a scene a peer as a balancer's reply does. */
void meet(PacketScene& scene, std::vector<MemberRecord> peers)
{
    scene.agent.onMessage(scene.now, AnnounceReply { .balancer = packetBalancer, .revision = 5, .peers = std::move(peers) }, scene.actions);
}

MemberRecord peerRecord(uint32_t host)
{
    return { .address = { host, 7000 }, .role = MemberRole::Agent, .zone = "a", .service = "orders", .incarnation = 1, .version = 1, .state = MemberState::Ready, .slots = 2, .weight = 200 };
}

/** Lets the searched flow's packet come back from the own upstream, and the known peers say no. */
void sayNo(PacketScene& scene, const FlowKey& flow, std::initializer_list<uint32_t> hosts)
{
    for (uint32_t host : hosts) {
        scene.agent.onMessage(scene.now, FlowQueryReply { flow, { host, 7000 }, {} }, scene.actions);
    }
}

void searchFor(PacketScene& scene, uint16_t port)
{
    Bytes packet = makePacket(caller(port), packetService, AcknowledgingFlag, 1, 77, 20);
    scene.receive(packet);
    Bytes returned = packet;
    returned[8] |= ReturnedFlag;
    scene.fromUpstream(returned);
    ForwardedPacket forwarded = scene.forwarded(packet);
    forwarded.candidates = { { 3, 7000 } };
    forwarded.visited = 1; // Agent 3 has passed it on.
    scene.actions.clear();
    scene.agent.onMessage(scene.now, forwarded, scene.actions);
    CHECK_EQUAL(1, scene.agent.counters().get(Counter::Searches));
}

} // namespace

/** Seen on a hunted day: a flow at an agent that had just joined was reset by one that did not know it. */
TEST(PacketAgent, AFlowIsNotLostWhileAnAgentThatJustJoinedMayHoldIt)
{
    PacketScene scene;
    meet(scene, { peerRecord(3) });
    meet(scene, {});
    scene.advance(3s);
    CHECK(scene.report(2));
    const FlowKey flow { caller(9), packetService };
    searchFor(scene, 9);
    sayNo(scene, flow, { 3 });
    CHECK_EQUAL(0, scene.of<SendToCaller>().size());
    meet(scene, { peerRecord(4) }); // The news that were asked for.
    scene.advance(100ms);
    meet(scene, {});
    scene.actions.clear();
    scene.advance(300ms);
    sayNo(scene, flow, { 3 });
    CHECK_EQUAL(0, scene.of<SendToCaller>().size());
    scene.agent.onMessage(scene.now, FlowQueryReply { flow, { 4, 7000 }, { 4, 7000 } }, scene.actions);
    CHECK(scene.of<SendMessage>().back()->to == (Address { 4, 7000 }));
    CHECK_EQUAL(0, scene.of<SendToCaller>().size());
}

TEST(PacketAgent, AFlowThatEveryAgentDeniesTwiceIsReset)
{
    PacketScene scene;
    meet(scene, { peerRecord(3) });
    meet(scene, {});
    scene.advance(3s);
    CHECK(scene.report(2));
    const FlowKey flow { caller(9), packetService };
    searchFor(scene, 9);
    sayNo(scene, flow, { 3 });
    scene.advance(100ms);
    meet(scene, {});
    scene.advance(300ms);
    sayNo(scene, flow, { 3 });
    CHECK_EQUAL(1, scene.of<SendToCaller>().size());
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

TEST_GROUP(ColdGate) {};

TEST(ColdGate, NoSlidingSecondHasMoreThanTheRate)
{
    ColdGate gate;
    gate.setRate(10);
    gate.onReport(0s, 5s);
    std::vector<TimePoint> opened;
    for (TimePoint now = 0s; now < 5s; now += 7ms) {
        if (gate.mayOpen(now)) {
            gate.noteOpening(now);
            opened.push_back(now);
        }
    }
    for (size_t first = 0; first + 10 < opened.size(); ++first) {
        CHECK(opened[first + 10] - opened[first] > 1s);
    }
    CHECK(opened.size() >= 40);
}

TEST(ColdGate, CountsAsColdUntilAReportThatIsNewerThanTheDoubt)
{
    ColdGate gate;
    gate.setRate(10);
    gate.onReport(10s, 0s);
    CHECK_FALSE(gate.isCold(10s));
    gate.distrust(11s);
    CHECK(gate.isCold(11s));
    gate.onReport(11s + 50ms, 0s); // May have been on its way.
    CHECK(gate.isCold(11s + 50ms));
    gate.onReport(12s, 0s);
    CHECK_FALSE(gate.isCold(12s));
}

TEST(ColdGate, ARestartedAgentWaitsOutTheSecondThatItDoesNotKnow)
{
    ColdGate gate;
    gate.setRate(10);
    gate.assumeUsedUp(1s);
    CHECK_FALSE(gate.mayOpen(2s));
    CHECK(gate.mayOpen(2s + 100ms));
}

/** Pattern: a crashed upstream whose port gives every opening back, with a free slot by all that the agent can count. */
TEST(PacketAgent, AnUpstreamThatGivesOpeningsBackIsTriedSeldom)
{
    PacketScene scene;
    const auto refuse = [&scene](uint16_t port) {
        scene.receive(makePacket(caller(port), packetService, OpeningFlag));
        const bool isTried = !scene.of<SendToUpstream>().empty();
        if (isTried) {
            scene.fromUpstream(makePacket(caller(port), packetService, OpeningFlag | ReturnedFlag));
        }
        CHECK(scene.outcome() == OpeningResult::Refused);
        return isTried;
    };
    size_t tries = 0;
    for (uint16_t port = 1; port <= 300; ++port) {
        tries += refuse(port) ? 1 : 0;
        scene.advance(10ms);
        CHECK(scene.report(port + 1U));
    }
    CHECK(tries >= 3 && tries <= 8);
    scene.advance(1s);
    scene.receive(makePacket(caller(400), packetService, OpeningFlag));
    scene.fromUpstream(makePacket(packetService, caller(400), OpeningFlag | AcknowledgingFlag, 1000, 1));
    scene.receive(makePacket(caller(401), packetService, OpeningFlag));
    CHECK_EQUAL(1, scene.of<SendToUpstream>().size());
}

TEST(PacketAgent, ANewUpstreamIsNotMadeToWaitForTheRefusalsOfTheOneBefore)
{
    PacketScene scene;
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    scene.fromUpstream(makePacket(caller(1), packetService, OpeningFlag | ReturnedFlag));
    scene.receive(makePacket(caller(2), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Refused);
    CHECK(scene.report(1, 2, {}, false, "u2", 600'000));
    scene.receive(makePacket(caller(3), packetService, OpeningFlag));
    CHECK_EQUAL(1, scene.of<SendToUpstream>().size());
}

namespace {

/** An agent of @p slots slots whose upstream has answered some requests in @p work each, with a goal of 250 ms. */
struct LoadScene : PacketScene {
    LoadScene(uint16_t slots, Duration work)
        : PacketScene(0x0A010002, "service orders connections 1000 # t\nroute 198.18.0.1:443 to orders goal 250 # t\nannounce orders in * # t\n", slots)
    {
        for (uint16_t port = 1; port <= 20; ++port) {
            this->serve(port, work);
        }
    }

    void serve(uint16_t port, Duration work)
    {
        this->open(port);
        this->receive(makePacket(caller(port), packetService, AcknowledgingFlag, 1, 1001, 100));
        this->now += work;
        this->fromUpstream(makePacket(packetService, caller(port), AcknowledgingFlag, 1001, 101, 500));
    }

    /** How many openings the agent takes at once, places in the queue included. */
    size_t fill(uint32_t copies = 0)
    {
        for (uint16_t port = 1000; port < 1100; ++port) {
            ForwardedPacket placed = this->forwarded(makePacket(caller(port), packetService, OpeningFlag, 0, copies));
            placed.isPlaced = true;
            this->actions.clear();
            this->agent.onMessage(this->now, placed, this->actions);
            if (this->of<SendToUpstream>().empty()) {
                return port - 1000U;
            }
        }
        return 100;
    }
};

} // namespace

/** Pattern: overload of a cold upstream. Who would be answered behind the goal is not queued: nobody behind would be in time either. */
TEST(PacketAgent, TheQueueIsAsLongAsTheGoalAllows)
{
    LoadScene warm(8, 60ms);
    const size_t warmPlaces = warm.fill();
    CHECK(warmPlaces >= 16 && warmPlaces <= 32); // 60 ms + 16 / 8 * 60 ms are in time, and so are some more.
    LoadScene cold(8, 96ms);
    const size_t coldPlaces = cold.fill();
    CHECK(coldPlaces >= 12 && coldPlaces <= 17); // 96 ms + 9 / 8 * 96 ms take 204 ms.
    CHECK(coldPlaces < warmPlaces);
}

/** Pattern: grey failure. An upstream that became too slow for the goal is measured by one request at a time; the late are welcome. */
TEST(PacketAgent, AnUpstreamThatBecameTooSlowTakesOneFreshRequestAtATime)
{
    for (const uint32_t copies : { 0U, 1U }) {
        LoadScene scene(8, 60ms);
        for (uint16_t port = 200; port < 264; ++port) {
            scene.serve(port, 300ms);
        }
        CHECK_EQUAL(copies == 0 ? 1 : 8, scene.fill(copies));
        scene.advance(3s); // The openings above were given up.
        CHECK(scene.report(2, 8));
        for (uint16_t port = 300; port < 364; ++port) {
            scene.serve(port, 50ms);
        }
        CHECK(scene.fill(copies) >= 8);
    }
}

/** A goal that no upstream can reach must not shut the service. */
TEST(PacketAgent, AGoalOutOfReachLimitsTheQueueAsIfThereWereNone)
{
    LoadScene scene(8, 300ms);
    CHECK_EQUAL(20, scene.fill());
}
