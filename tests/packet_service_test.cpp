/** @file packet_service_test.cpp Agents of a route with several services: which openings they take, and how a flow is found in another service. */
#include "packet_network.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

TEST_GROUP(PacketService) {};

namespace {

constexpr std::string_view splitPacketRules = "service orders # t\nservice proofs # t\nroute 198.18.0.1:443 to orders 90 proofs 10 # t\nannounce orders in * # t\nannounce proofs in * # t\n";
constexpr std::string_view rulesOfProofs = "service orders # t\nservice proofs # t\nroute 198.18.0.1:443 to proofs 10 orders 0 # t\nannounce orders in * # t\n";

/** Agents 0 and 1 of "orders" and 2 and 3 of "proofs"; a flow is open at agent 2, and packets enter at agent 0. */
struct SplitNetwork : PacketNetwork {
    SplitNetwork()
        : PacketNetwork(4, splitPacketRules, 2)
    {
        this->open(2, 1);
        this->otherServices = { { hashText("proofs"), packetAgent(3) }, { hashText("orders"), packetAgent(1) } };
    }

    void sendOpenPacket(uint16_t port)
    {
        this->send(0, makePacket(caller(port), packetService, AcknowledgingFlag, 1, initialSequence(2) + 1, 10), { packetAgent(0), packetAgent(1) });
    }
};

} // namespace

/** Weights change while flows are open: a packet that enters the service chosen now reaches its owner, and the balancer learns of it. */
TEST(PacketService, AFlowOfAnotherServiceIsFound)
{
    for (const Duration age : { 0s, 61s }) { // Agents that may have restarted beside their upstream probe it; older ones do not.
        SplitNetwork network;
        network.advance(age);
        network.sendOpenPacket(1);
        network.advance(200ms);
        CHECK_EQUAL(1, network.nodes[2].deliveries);
        CHECK_EQUAL(0, network.resets);
        CHECK(network.openReport.has_value() && network.openReport->agent == packetAgent(2) && network.openReport->service == hashText("proofs"));
    }
}

/** One agent of the service chosen now has ended, and nobody knows it yet. */
TEST(PacketService, AnAgentWithoutAReplyHidesNoFlowOfAnotherService)
{
    SplitNetwork network;
    network.nodes[1].isRunning = false;
    network.sendOpenPacket(1);
    network.advance(300ms);
    CHECK(network.nodes[2].deliveries >= 1);
    CHECK_EQUAL(0, network.resets);
}

/** An upstream has ended with its flows: the caller is told at once, but only after a thorough search in both services. */
TEST(PacketService, AFlowIsResetOnlyAfterAllServicesDenyIt)
{
    SplitNetwork network;
    network.advance(61s);
    network.doBalancersReply = true;
    network.advance(2s);
    network.sendOpenPacket(7);
    network.advance(300ms);
    CHECK_EQUAL(0, network.resets);
    network.advance(1500ms);
    CHECK_EQUAL(1, network.resets);
    // A balancer that does not know of the other service yet.
    network.otherServices.clear();
    network.sendOpenPacket(8);
    network.advance(2s);
    CHECK_EQUAL(1, network.resets);
}

/** A balancer with earlier rules sends openings to a service that the rules no longer name. */
TEST(PacketService, AnOpeningIsRefusedThatLaterRulesSendElsewhere)
{
    PacketScene scene(0x0A010002, rulesOfProofs);
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    CHECK_EQUAL(0, scene.actionsOf<SendToUpstream>().size());
    CHECK(scene.outcome() == OpeningResult::OtherRules);
    // The balancer has later rules than the agent, which name its service.
    ForwardedPacket later = scene.forwarded(makePacket(caller(1), packetService, OpeningFlag));
    later.rulesRevision = revisionAt(6);
    scene.actions.clear();
    scene.agent.onMessage(scene.now, later, scene.actions);
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
    // A copy of that opening, by a balancer with the earlier ones.
    scene.receive(makePacket(caller(1), packetService, OpeningFlag, 0, 1));
    CHECK_EQUAL(0, scene.actionsOf<SendToUpstream>().size());
}
