/** @file egress_pacer_test.cpp A balancer with a narrow link: bursts of uploads and of openings, and a link that is not full. */
#include "balancer/egress_pacer.h"

#include <rapidcheck.h>

#include <map>

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

constexpr uint64_t narrowLink = 1'250'000; ///< 10 Mbit/s.
constexpr size_t fullPacket = 1300;
constexpr size_t openingPacket = 130;

/** A packet of the flow of one caller; the first byte is its number. */
QueuedPacket makePacket(uint16_t port, size_t size, uint8_t number = 0)
{
    Bytes bytes(size);
    bytes.front() = number;
    return { { { 0x64400007, port }, { 0xC6120001, 443 } }, { 0x0A010001, 7000 }, std::move(bytes) };
}

struct Departure {
    QueuedPacket packet;
    TimePoint at {};
};

struct PacerScene {
    explicit PacerScene(uint64_t bytesPerSecond = narrowLink)
        : pacer(bytesPerSecond, this->counters)
    {
    }

    Counters counters;
    EgressPacer pacer;
    TimePoint now = 10s;

    uint64_t dropped() const { return this->counters.get(Counter::PacketsQueueFull) + this->counters.get(Counter::PacketsOutdated); }

    /** Lets virtual time pass; returns what left. */
    std::vector<Departure> advance(Duration span)
    {
        std::vector<Departure> departures;
        for (const TimePoint end = this->now + span; this->now < end; this->now += 1ms) {
            while (std::optional<QueuedPacket> packet = this->pacer.pop(this->now)) {
                departures.push_back({ std::move(*packet), this->now });
            }
        }
        return departures;
    }
};

} // namespace

TEST_GROUP(EgressPacer) {};

TEST(EgressPacer, LoadOfUploadsAnOpeningLeavesBefore100QueuedPackets)
{
    PacerScene scene;
    for (int number = 0; number < 100; ++number) {
        scene.pacer.push(scene.now, makePacket(static_cast<uint16_t>(1 + number % 10), fullPacket));
    }
    (void)scene.advance(50ms); // All uploads have had a turn.
    scene.pacer.push(scene.now, makePacket(99, openingPacket));
    const std::vector<Departure> departures = scene.advance(5ms);
    CHECK_FALSE(departures.empty());
    CHECK_EQUAL(99, departures.front().packet.flow.caller.port);
    CHECK_EQUAL(0U, scene.counters.get(Counter::PacketsQueueFull));
}

TEST(EgressPacer, LoadOfOpeningsAllLeaveWithinTheOfferTime)
{
    PacerScene scene;
    for (uint16_t port = 1; port <= 300; ++port) {
        scene.pacer.push(scene.now, makePacket(port, openingPacket));
    }
    CHECK_EQUAL(300U, scene.advance(60ms).size());
}

TEST(EgressPacer, LoadBelowTheLinksRateIsNotDelayed)
{
    PacerScene scene;
    for (int number = 0; number < 1000; ++number, scene.now += 1100us) {
        CHECK_TRUE(scene.pacer.hasRoom(scene.now));
        scene.pacer.charge(scene.now, fullPacket);
    }
    CHECK_TRUE(scene.pacer.backlog() == Duration {});
}

TEST(EgressPacer, LoadOverTheLinkDropsTheNewestOfTheLargestFlowAndBoundsTheWait)
{
    PacerScene scene;
    for (int number = 0; number < 250; ++number) {
        scene.pacer.push(scene.now, makePacket(1, fullPacket, static_cast<uint8_t>(number)));
    }
    scene.pacer.push(scene.now, makePacket(2, fullPacket));
    CHECK_TRUE(scene.pacer.backlog() <= 200ms);
    const std::vector<Departure> departures = scene.advance(250ms);
    CHECK_EQUAL(251U, departures.size() + scene.dropped());
    CHECK_TRUE(departures.size() >= 180);
    size_t expected = 0;
    size_t othersSeen = 0;
    for (const Departure& departure : departures) {
        CHECK_TRUE(departure.at - departure.packet.queuedAt <= 200ms);
        if (departure.packet.flow.caller.port == 2) {
            ++othersSeen;
        } else {
            CHECK_EQUAL(expected, departure.packet.bytes.front());
            ++expected;
        }
    }
    CHECK_EQUAL(1U, othersSeen);
}

TEST(EgressPacer, KeepsTheOrderOfEachFlowAndLosesOnlyWhatItCounts)
{
    constexpr uint64_t slowLink = 125'000; // Few packets fill its queue.
    uint64_t dropped = 0;
    CHECK_TRUE(rc::check("order and count", [&dropped] {
        PacerScene scene(slowLink);
        const auto arrivals = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(1, 6), rc::gen::inRange(0, 6)));
        std::map<uint16_t, uint8_t> sent;
        std::map<uint16_t, int> lastSeen;
        std::vector<Departure> departures;
        for (const auto& [port, pause] : arrivals) {
            const auto key = static_cast<uint16_t>(port);
            scene.pacer.push(scene.now, makePacket(key, port % 2 == 0 ? openingPacket : fullPacket, ++sent[key]));
            for (Departure& departure : scene.advance(std::chrono::milliseconds(pause))) {
                departures.push_back(std::move(departure));
            }
        }
        for (Departure& departure : scene.advance(1s)) {
            departures.push_back(std::move(departure));
        }
        RC_ASSERT(arrivals.size() == departures.size() + scene.dropped());
        dropped += scene.dropped();
        RC_ASSERT(scene.pacer.backlog() == Duration {});
        for (const Departure& departure : departures) {
            const uint16_t port = departure.packet.flow.caller.port;
            RC_ASSERT(lastSeen[port] < departure.packet.bytes.front());
            lastSeen[port] = departure.packet.bytes.front();
        }
    }));
    CHECK_TRUE(dropped > 0);
}
