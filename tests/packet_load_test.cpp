/** @file packet_load_test.cpp Admission under load: upstreams that refuse openings, queue limits by latency goal, slow upstreams. */
#include "packet_test.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

TEST_GROUP(PacketLoad) {};

/** Failure pattern: a crashed upstream returns every opening packet at once, so that by the agent's count its slots are always free. */
TEST(PacketLoad, AnUpstreamThatGivesOpeningsBackIsTriedSeldom)
{
    PacketScene scene;
    const auto refuse = [&scene](uint16_t port) {
        scene.receive(makePacket(caller(port), packetService, OpeningFlag));
        const bool isTried = !scene.actionsOf<SendToUpstream>().empty();
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
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
}

TEST(PacketLoad, ANewUpstreamIsNotMadeToWaitForTheRefusalsOfTheOneBefore)
{
    PacketScene scene;
    scene.receive(makePacket(caller(1), packetService, OpeningFlag));
    scene.fromUpstream(makePacket(caller(1), packetService, OpeningFlag | ReturnedFlag));
    scene.receive(makePacket(caller(2), packetService, OpeningFlag));
    CHECK(scene.outcome() == OpeningResult::Refused);
    CHECK(scene.report(1, 2, {}, false, "u2", 600'000));
    scene.receive(makePacket(caller(3), packetService, OpeningFlag));
    CHECK_EQUAL(1, scene.actionsOf<SendToUpstream>().size());
}

namespace {

/** An agent with a latency goal of 250 ms whose upstream of @p slots slots has answered 20 requests in @p work each. */
struct LoadScene : PacketScene {
    LoadScene(uint16_t slots, Duration work)
        : PacketScene(0x0A010002, "service orders connections 1000 # t\nroute 198.18.0.1:443 to orders goal 250 # t\nannounce orders in * # t\n", slots)
    {
        for (uint16_t port = 1; port <= 20; ++port) {
            this->serve(port, work);
        }
    }

    /** Opens a flow with one request, which the upstream answers after @p work. */
    void serve(uint16_t port, Duration work)
    {
        this->open(port);
        this->receive(makePacket(caller(port), packetService, AcknowledgingFlag, 1, 1001, 100));
        this->now += work;
        this->fromUpstream(makePacket(packetService, caller(port), AcknowledgingFlag, 1001, 101, 500));
    }

    /** Number of openings that the agent admits at once, with those in the queue; 100 at most. @param copies Earlier copies of each packet. */
    size_t fill(uint32_t copies = 0)
    {
        for (uint16_t port = 1000; port < 1100; ++port) {
            ForwardedPacket placed = this->forwarded(makePacket(caller(port), packetService, OpeningFlag, 0, copies));
            placed.isPlaced = true;
            this->actions.clear();
            this->agent.onMessage(this->now, placed, this->actions);
            if (this->actionsOf<SendToUpstream>().empty()) {
                return port - 1000U;
            }
        }
        return 100;
    }
};

} // namespace

/** Failure pattern: overload of a cold upstream. A request that would miss the latency goal is not queued, as all later ones would too. */
TEST(PacketLoad, TheQueueIsAsLongAsTheGoalAllows)
{
    LoadScene warm(8, 60ms);
    const size_t warmPlaces = warm.fill();
    CHECK(warmPlaces >= 16 && warmPlaces <= 32); // With 16 queued: 60 ms + 16 / 8 * 60 ms = 180 ms; some more are in time too.
    LoadScene cold(8, 96ms);
    const size_t coldPlaces = cold.fill();
    CHECK(coldPlaces >= 12 && coldPlaces <= 17); // With 9 queued: 96 ms + 9 / 8 * 96 ms = 204 ms.
    CHECK(coldPlaces < warmPlaces);
}

/**
 * Failure pattern: grey failure. An upstream that has become too slow for the latency goal gets one original at a time, which
 * measures whether it has recovered; retransmissions still take its free slots.
 */
TEST(PacketLoad, AnUpstreamThatBecameTooSlowTakesOneFreshRequestAtATime)
{
    for (const uint32_t copies : { 0U, 1U }) {
        LoadScene scene(8, 60ms);
        for (uint16_t port = 200; port < 264; ++port) {
            scene.serve(port, 300ms);
        }
        CHECK_EQUAL(copies == 0 ? 1 : 8, scene.fill(copies));
        scene.advance(3s); // The openings above expire.
        CHECK(scene.report(2, 8));
        for (uint16_t port = 300; port < 364; ++port) {
            scene.serve(port, 50ms);
        }
        CHECK(scene.fill(copies) >= 8);
    }
}

/** A latency goal that no upstream can reach must not make the service unavailable. */
TEST(PacketLoad, AGoalOutOfReachLimitsTheQueueAsIfThereWereNone)
{
    LoadScene scene(8, 300ms);
    CHECK_EQUAL(20, scene.fill());
}
