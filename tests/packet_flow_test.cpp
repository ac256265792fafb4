/** @file packet_flow_test.cpp What an agent knows of the flows at its upstream: half-open flows, returned copies, and the age of the upstream. */
#include "packet_test.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

TEST_GROUP(PacketFlow) {};

namespace {

constexpr Address searchingAgent { 0x0A010003, 7000 };

/** Advances the clock in steps of the upstream's reports. @param sequence Of the next report; rises. */
void waitWithReports(PacketScene& scene, Duration span, uint64_t& sequence)
{
    for (Duration passed {}; passed < span; passed += 500ms) {
        scene.advance(500ms);
        CHECK(scene.report(sequence++));
    }
}

/** Opens a flow at the upstream; its caller sends nothing yet. */
void openHalf(PacketScene& scene, uint16_t port)
{
    scene.receive(makePacket(caller(port), packetService, OpeningFlag));
    scene.fromUpstream(makePacket(packetService, caller(port), OpeningFlag | AcknowledgingFlag, 1000, 1));
}

/** The agent's answer to another agent that searches for the flow of this caller. */
FlowQueryReply query(PacketScene& scene, uint16_t port)
{
    scene.actions.clear();
    scene.agent.onMessage(scene.now, FlowQuery { hashText("orders"), { caller(port), packetService }, searchingAgent }, scene.actions);
    return std::get<FlowQueryReply>(scene.actionsOf<SendMessage>().front()->message);
}

} // namespace

/**
 * Guards against a probe, or a search past the owner, for a flow whose caller could not send its first packet within 2 s: the
 * agent had forgotten the opening while its upstream still held its half.
 */
TEST(PacketFlow, AFirstPacketThatArrivesLateFindsItsFlow)
{
    PacketScene scene;
    uint64_t sequence = 2;
    openHalf(scene, 1);
    waitWithReports(scene, 9s, sequence);
    CHECK(query(scene, 1).mayHoldFlow);
    scene.receive(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 1001, 20));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
    CHECK_EQUAL(0, scene.agent.counters().get(Counter::FlowsProbed));
    CHECK(query(scene, 1).owner == scene.agent.self().address);
}

/** Guards against half-open flows without an end: no upstream keeps its half for so long. */
TEST(PacketFlow, AHalfOpenFlowIsForgottenAfterTheLastRetransmission)
{
    PacketScene scene;
    uint64_t sequence = 2;
    openHalf(scene, 1);
    waitWithReports(scene, 13s, sequence);
    CHECK_EQUAL(0, scene.agent.flowCount());
}

/** Guards against an agent that seems full for as long as it remembers half-open flows: their callers may be gone. */
TEST(PacketFlow, AHalfOpenFlowGivesItsSlotAndItsConnectionBack)
{
    PacketScene scene(0x0A010002, "service orders connections 2 # t\nroute 198.18.0.1:443 to orders # t\nannounce orders in * # t\n");
    uint64_t sequence = 2;
    openHalf(scene, 1);
    openHalf(scene, 2);
    scene.receive(makePacket(caller(3), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Refused);
    waitWithReports(scene, 3s, sequence);
    CHECK_EQUAL(2, scene.agent.flowCount());
    scene.receive(makePacket(caller(3), packetService, OpeningFlag));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
    // A flow that its caller claims late counts again.
    scene.receive(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 1001, 20));
    scene.fromUpstream(makePacket(packetService, caller(1), AcknowledgingFlag, 1001, 21, 50));
    scene.fromUpstream(makePacket(packetService, caller(3), OpeningFlag | AcknowledgingFlag, 1000, 1));
    scene.receive(makePacket(caller(4), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Refused);
}

/**
 * Load after a stall of a balancer: the openings that waited in its socket are placed, though their callers have given up. Callers that
 * are alive must not wait until an agent forgets them.
 */
TEST(PacketFlow, CallersThatHaveGivenUpHoldPlacesForAMomentOnly)
{
    PacketScene scene;
    const auto isTaken = [&scene](uint16_t port) {
        ForwardedPacket placed = scene.forwarded(makePacket(caller(port), packetService, OpeningFlag));
        placed.isPlaced = true;
        scene.actions.clear();
        scene.agent.onMessage(scene.now, placed, scene.actions);
        return !scene.actionsOf<SendToUpstream>().empty();
    };
    uint16_t places = 0;
    while (isTaken(places + 1)) {
        ++places;
        scene.fromUpstream(makePacket(packetService, caller(places), OpeningFlag | AcknowledgingFlag, 1000, 1));
    }
    // One of them opens its flow, and is gone before its request; one asks.
    scene.receive(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 1001));
    scene.receive(makePacket(caller(2), packetService, AcknowledgingFlag, 1, 1001, 20));
    for (int step = 0; step < 4; ++step) {
        scene.advance(50ms);
    }
    CHECK_EQUAL(places - 1U, scene.agent.counters().get(Counter::PlacesUnused));
    uint16_t taken = 0;
    while (isTaken(100 + taken)) {
        ++taken;
    }
    CHECK_EQUAL(places - 1, taken);
    // A caller that is only late is served.
    scene.receive(makePacket(caller(3), packetService, AcknowledgingFlag, 1, 1001, 20));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
}

/**
 * Guards against packets of an open flow at an upstream that does not own it: the agent had forgotten that its upstream's half
 * was not the one that the caller chose, and sent the packets there as probes.
 */
TEST(PacketFlow, AFlowThatTheCallerOpenedElsewhereIsPassedOnLaterToo)
{
    PacketScene scene;
    uint64_t sequence = 2;
    openHalf(scene, 1);
    waitWithReports(scene, 5s, sequence);
    ForwardedPacket other = scene.forwarded(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 500'001, 20));
    other.candidates = { searchingAgent };
    scene.actions.clear();
    scene.agent.onMessage(scene.now, other, scene.actions);
    CHECK_EQUAL(0, scene.actionsOf<SendToUpstream>().size());
    CHECK(scene.actionsOf<SendMessage>().front()->to == searchingAgent);
}

/** Guards against a search that waits for an agent whose upstream's half is not the one that the caller chose. */
TEST(PacketFlow, ASearchIsToldThatTheCallerChoseAnotherUpstream)
{
    PacketScene scene;
    uint64_t sequence = 2;
    waitWithReports(scene, 61s, sequence); // From now on the agent knows all flows of its upstream.
    openHalf(scene, 1);
    ForwardedPacket probeRequest = scene.forwarded(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 500'001, 20));
    probeRequest.searcher = searchingAgent;
    scene.actions.clear();
    scene.agent.onMessage(scene.now, probeRequest, scene.actions);
    CHECK_EQUAL(0, scene.actionsOf<SendToUpstream>().size());
    const auto sends = scene.actionsOf<SendMessage>();
    CHECK_EQUAL(1, sends.size());
    const auto& reply = std::get<FlowQueryReply>(sends.front()->message);
    CHECK_FALSE(reply.owner.isValid());
    CHECK_FALSE(reply.mayHoldFlow);
}

namespace {

/** Results that the agent reported to balancers for opening packets since the actions were last cleared. */
std::vector<OpeningResult> outcomes(const PacketScene& scene)
{
    std::vector<OpeningResult> results;
    for (const SendMessage* send : scene.actionsOf<SendMessage>()) {
        if (const auto* outcome = std::get_if<OpeningOutcome>(&send->message)) {
            results.push_back(outcome->result);
        }
    }
    return results;
}

/** The caller's retransmission of its opening packet arrives, and the upstream, which has accepted the original, returns it. */
void returnCopy(PacketScene& scene, uint16_t port)
{
    Bytes copy = makePacket(caller(port), packetService, OpeningFlag, 0, 1);
    scene.receive(copy);
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
    copy[8] |= ReturnedFlag;
    scene.fromUpstream(copy);
}

} // namespace

/**
 * Guards against a second half-open flow: a balancer that gets no answer for a copy, or is told that it was refused, offers it to
 * other agents, though the flow is here.
 */
TEST(PacketFlow, ACopyOfAnAcceptedOpeningIsReportedAsAccepted)
{
    PacketScene scene;
    for (uint16_t port = 1; port <= 2; ++port) {
        port == 1 ? openHalf(scene, port) : scene.open(port);
        Bytes copy = makePacket(caller(port), packetService, OpeningFlag, 0, 1);
        scene.receive(copy);
        CHECK(outcomes(scene) == std::vector { OpeningResult::Accepted });
        copy[8] |= ReturnedFlag;
        scene.fromUpstream(copy);
        CHECK(outcomes(scene).empty());
    }
}

/** Guards against an agent that forgets an open flow because the upstream returns a copy of its opening packet. */
TEST(PacketFlow, AReturnedCopyOfAnOpeningLeavesTheOpenFlowKnown)
{
    PacketScene scene;
    scene.open(1);
    returnCopy(scene, 1);
    CHECK(query(scene, 1).owner == scene.agent.self().address);
    scene.receive(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 1001, 20));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
    CHECK_EQUAL(0, scene.agent.counters().get(Counter::FlowsProbed));
}

/** Guards against an agent that forgets a half-open flow because the upstream returns a copy of its opening packet. */
TEST(PacketFlow, AReturnedCopyOfAnOpeningLeavesTheHalfOpenFlowKnown)
{
    PacketScene scene;
    openHalf(scene, 1);
    returnCopy(scene, 1);
    scene.receive(makePacket(caller(2), packetService, OpeningFlag)); // The upstream has refused no new flow.
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
    scene.receive(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 1001, 20));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
    CHECK_EQUAL(0, scene.agent.counters().get(Counter::FlowsProbed));
    CHECK(query(scene, 1).owner == scene.agent.self().address);
}

namespace {

/** An agent with the start time 1,000,000 that started at 100 s; its upstream reports each second. */
struct StartScene {
    platform::PacketCodec codec;
    SeededRandom random { 1 };
    NullEventSink events;
    PacketAgent agent;
    TimePoint now = 100s;

    StartScene()
        : agent({ .address = { 0x0A010005, 7000 }, .zone = "a", .service = "orders", .incarnation = 1'000'000, .slots = 2, .reportPeriod = 1s, .startedAt = 100s }, this->codec, this->random, this->events)
    {
        Actions actions;
        this->agent.onSnapshot(this->now, { .revision = revisionAt(5), .rules = makePatch({}, "", packetRules) }, actions);
    }

    /** Gives the agent a report @p after its start. */
    void report(Duration after, const UpstreamReport& report)
    {
        this->now = 100s + after;
        CHECK(this->agent.onUpstreamReport(this->now, report));
    }

    /** True if the agent counts with a flow at its upstream that it does not know. */
    bool mayHoldUnknownFlow()
    {
        Actions actions;
        this->agent.onMessage(this->now, FlowQuery { hashText("orders"), { caller(9), packetService }, searchingAgent }, actions);
        return std::get<FlowQueryReply>(std::get<SendMessage>(actions.front()).message).mayHoldFlow;
    }
};

/** First report of an upstream that started 2.4 s after the agent and is not cold. */
UpstreamReport firstReport()
{
    return { .id = "u1", .service = "orders", .started = 1'002'400, .sequence = 1, .slots = 2 };
}

} // namespace

/**
 * Guards against packets of an open flow at upstreams that do not own it: agents that started before their upstreams, which are
 * not cold before the traffic, sent packets of unknown flows to them for 60 s.
 */
TEST(PacketFlow, AnUpstreamThatStartedAfterItsAgentGetsNoPacketOfAnUnknownFlow)
{
    StartScene scene;
    scene.report(2500ms, firstReport());
    CHECK_FALSE(scene.mayHoldUnknownFlow());
    ForwardedPacket forwarded {
        .packet = { .flow = { caller(9), packetService }, .mark = PacketMark::Established, .payload = makePacket(caller(9), packetService, AcknowledgingFlag, 1, 77, 20) },
        .service = hashText("orders"),
        .candidates = { searchingAgent },
    };
    Actions actions;
    scene.agent.onMessage(scene.now, forwarded, actions);
    CHECK_EQUAL(1, actions.size());
    CHECK(std::get<SendMessage>(actions.front()).to == searchingAgent);
    StartScene late; // The first two reports were lost, but the third shows the same.
    UpstreamReport third = firstReport();
    third.sequence = 3;
    late.report(7s, third);
    CHECK_FALSE(late.mayHoldUnknownFlow());
}

/** Guards against the reset of an open flow by an agent that wrongly believes that it knows all flows of its upstream. */
TEST(PacketFlow, AReportOfAnUpstreamThatMayBeOlderProvesNothing)
{
    const auto check = [](Duration after, auto change) {
        StartScene scene;
        UpstreamReport report = firstReport();
        change(report);
        scene.report(after, report);
        CHECK(scene.mayHoldUnknownFlow());
    };
    check(1s, [](UpstreamReport&) {}); // The report before it may have been lost while the agent restarted.
    check(2500ms, [](UpstreamReport& report) { report.sequence = 2; });
    check(30s, [](UpstreamReport& report) { report.sequence = 30; });
    check(30s, [](UpstreamReport& report) { report.sequence = UINT64_MAX; });
    check(30s, [](UpstreamReport& report) { report.sequence = 0; }); // Reports are counted from 1, so this one counts otherwise.
    check(30s, [](UpstreamReport& report) { report.started = 999'000; }); // It was suspended while the agent restarted.
    check(30s, [](UpstreamReport& report) { report.started = std::nullopt; });
    check(30s, [](UpstreamReport& report) { report.service = "proofs"; });
    StartScene scene;
    UpstreamReport report = firstReport();
    report.started = std::nullopt;
    scene.report(2500ms, report);
    report = firstReport();
    report.sequence = 9;
    scene.report(3s, report);
    CHECK(scene.mayHoldUnknownFlow()); // The first report may be of another lifetime.
}

/**
 * Guards against the reset of an open flow by an agent that restarted beside a living upstream, whatever the time of day says:
 * here it jumped back before the restart, and no report of the upstream was answered before.
 */
TEST(PacketFlow, ARestartedAgentNeverTakesALivingUpstreamForAYoungerOne)
{
    constexpr Duration longestInterval = 2250ms; // A report that times out, and 5/4 of the period to the next one.
    for (Duration restart = 200ms; restart < 12s; restart += 50ms) {
        for (const Duration interval : { Duration(750ms), Duration(1s), longestInterval }) {
            StartScene scene;
            UpstreamReport report = firstReport();
            report.sequence = static_cast<uint64_t>(restart / interval) + 1;
            scene.report(static_cast<int64_t>(report.sequence) * interval - restart, report);
            CHECK(scene.mayHoldUnknownFlow());
        }
    }
}

/**
 * Guards against an open flow whose packets are passed on to other agents: the upstream answered a later opening from the same port, or one
 * after its own restart, and the agent still compared the caller's acknowledgement with the number of the first answer.
 */
TEST(PacketFlow, TheLatestAnswerToAnOpeningCounts)
{
    PacketScene scene;
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    scene.fromUpstream(makePacket(packetService, caller(1), OpeningFlag | AcknowledgingFlag, 1000, 1));
    scene.advance(5s);
    CHECK(scene.report(2));
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    scene.fromUpstream(makePacket(packetService, caller(1), OpeningFlag | AcknowledgingFlag, 900'000, 1));
    scene.receive(makePacket(caller(1), packetService, AcknowledgingFlag, 1, 900'001, 20));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
}
