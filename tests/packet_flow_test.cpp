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
