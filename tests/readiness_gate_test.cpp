/** @file readiness_gate_test.cpp Readiness of balancers that are short of link: hysteresis, and how many of a zone leave at once. */
#include "balancer/balancer_base.h"
#include "balancer/readiness_gate.h"
#include "packet_test.h"

#include <algorithm>
#include <deque>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

TEST_GROUP(ReadinessGate) {};

TEST(ReadinessGate, AShortBacklogLeavesItReady)
{
    SeededRandom random(1);
    ReadinessGate gate(random);
    for (TimePoint now = 0s; now < 60s; now += 50ms) {
        const bool isBurst = now % Duration(1s) < 300ms;
        CHECK_FALSE(gate.update(now, isBurst ? 190ms : 0ms));
    }
    CHECK_TRUE(gate.isReady());
}

TEST(ReadinessGate, ComesBackWhenTheBacklogIsGoneAndThenStays)
{
    SeededRandom random(1);
    ReadinessGate gate(random);
    TimePoint now = 0s;
    while (gate.isReady()) {
        gate.update(now += 50ms, 150ms);
        CHECK_TRUE(now < 30s);
    }
    const TimePoint left = now;
    while (!gate.isReady()) {
        gate.update(now += 50ms, 0ms);
    }
    CHECK_TRUE(now - left == 1s);
    for (const TimePoint end = now + 3900ms; now < end;) {
        CHECK_FALSE(gate.update(now += 50ms, 190ms));
    }
}

TEST(ReadinessGate, LoadOnAWholeZoneLeavesMostOfItsBalancersReady)
{
    constexpr size_t zoneBalancers = 8;
    SeededRandom random(7);
    std::deque<ReadinessGate> zone;
    for (size_t index = 0; index < zoneBalancers; ++index) {
        zone.emplace_back(random);
    }
    size_t awaySum = 0;
    size_t rounds = 0;
    size_t minorityRounds = 0;
    for (TimePoint now = 0s; now < 600s; now += 50ms, ++rounds) {
        for (ReadinessGate& gate : zone) {
            gate.update(now, 190ms);
        }
        const auto away = static_cast<size_t>(std::count_if(zone.begin(), zone.end(), [](const ReadinessGate& gate) { return !gate.isReady(); }));
        awaySum += away;
        minorityRounds += away > zoneBalancers / 2 ? 1 : 0;
    }
    CHECK_TRUE(awaySum * 4 <= rounds * zoneBalancers); // A quarter on average.
    CHECK_TRUE(awaySum > 0);
    CHECK_TRUE(minorityRounds * 20 <= rounds); // Beyond half, routers use all of the zone.
}

TEST(ReadinessGate, ABalancerShortOfLinkIsNotReadyAndShowsItsBacklog)
{
    platform::PacketCodec codec;
    NullEventSink events;
    SeededRandom random(1);
    TimePoint now = 100s;
    Balancer balancer({ .address = packetBalancer, .zone = "a" }, makeSteering("packets", "a"), random);
    balancer.enableOpaquePackets(codec, events);
    CHECK_TRUE(balancer.onConfiguration(now, { .revision = revisionAt(5), .text = packetRules }).ok());
    Actions actions;
    const MemberRecord agent { .address = { 0x0A020001, 7000 }, .role = MemberRole::Agent, .zone = "a", .service = "orders", .incarnation = 1, .version = 1, .state = MemberState::Ready, .slots = 2, .weight = 100 };
    balancer.onMessage(now, Announce { .record = agent }, actions);
    CHECK_TRUE(balancer.isReady());
    CHECK_TRUE(formatMetrics(balancer.metrics()).find("lavender_backlog_ms") == std::string::npos); // The rate of the link is not known.
    while (balancer.isReady()) {
        balancer.onBacklog(now += 50ms, 150ms);
        CHECK_TRUE(now < 130s);
    }
    CHECK_TRUE(balancer.isServing());
    const std::string metrics = formatMetrics(balancer.metrics());
    CHECK_TRUE(metrics.find("\nlavender_backlog_ms 150\n") != std::string::npos);
    CHECK_TRUE(metrics.find("\nlavender_ready 0\n") != std::string::npos);
}
