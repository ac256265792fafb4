/** @file packet_priority_test.cpp An agent's admission by the priority of routes. */
#include "packet_test.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

TEST_GROUP(PacketPriority) {};

/** A rush with an urgent opening in it: the less urgent gets slots and after a second a share, the queue is for the urgent. */
TEST(PacketPriority, TheQueueIsKeptForTheMoreUrgentRoute)
{
    PacketScene scene(0x0A010002, "service orders connections 100 # t\nroute 198.18.0.1:443 to orders priority 2 # t\nroute 198.18.0.2:443 to orders # t\nannounce orders in * # t\n");
    const Address urgentService { 0xC6120002, 443 };
    const auto isTaken = [&scene](uint16_t port, Address service) {
        ForwardedPacket placed = scene.forwarded(makePacket(caller(port), service, OpeningFlag));
        placed.isPlaced = true;
        scene.actions.clear();
        scene.agent.onMessage(scene.now, placed, scene.actions);
        return !scene.actionsOf<SendToUpstream>().empty();
    };
    CHECK(isTaken(1, urgentService) && isTaken(2, packetService) && !isTaken(3, packetService));
    const auto outcome = std::get<OpeningOutcome>(scene.actionsOf<SendMessage>().front()->message);
    CHECK(outcome.result == OpeningResult::Full && outcome.reservedFrom == 1 && outcome.reservedLimit == 2 && outcome.limit == 5);
    CHECK_EQUAL(1, scene.agent.counters().get(Counter::OpeningsReservedPriority2));
    CHECK(isTaken(4, urgentService));
    scene.now += 1s;
    CHECK(scene.report(2));
    CHECK(isTaken(5, packetService) && !isTaken(6, packetService));
}
