/** @file packet_load_test.cpp Openings under load: upstreams that refuse, queues that are as long as the goal allows, slow upstreams. */
#include "packet_test.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

TEST_GROUP(PacketLoad) {};

/** Pattern: a crashed upstream whose port gives every opening back, with a free slot by all that the agent can count. */
TEST(PacketLoad, AnUpstreamThatGivesOpeningsBackIsTriedSeldom)
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

TEST(PacketLoad, ANewUpstreamIsNotMadeToWaitForTheRefusalsOfTheOneBefore)
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
TEST(PacketLoad, TheQueueIsAsLongAsTheGoalAllows)
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
TEST(PacketLoad, AnUpstreamThatBecameTooSlowTakesOneFreshRequestAtATime)
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
TEST(PacketLoad, AGoalOutOfReachLimitsTheQueueAsIfThereWereNone)
{
    LoadScene scene(8, 300ms);
    CHECK_EQUAL(20, scene.fill());
}
