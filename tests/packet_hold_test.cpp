/** @file packet_hold_test.cpp Requests on open flows in a rush: which wait at the agent, in which order they leave, and when none waits. */
#include "packet_test.h"

#include <rapidcheck.h>

#include <array>
#include <deque>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

namespace {

using Delivered = std::deque<std::pair<uint16_t, uint32_t>>; // Caller's port and sequence number.

constexpr std::string_view holdRules = "service orders connections 100 # t\nroute 198.18.0.1:443 to orders timeout 2000 priority 2 # t\n"
                                       "route 198.18.0.2:443 to orders timeout 2500 priority 1 # t\nannounce orders in * # t\n";
constexpr size_t places = 3; // Two slots and one place in the queue.

/** An agent with open flows from ports 1 and up, on which one request was answered after 50 ms. Ports from 7 are callers of the urgent route. */
struct HoldScene : PacketScene {
    Delivered delivered; ///< What the upstream has got since the flows were opened.

    explicit HoldScene(uint16_t flows, std::string_view rules = holdRules)
        : PacketScene(0x0A010002, rules)
    {
        for (uint16_t port = 1; port <= flows; ++port) {
            this->receive(makePacket(caller(port), serviceOf(port), OpeningFlag));
            this->fromUpstream(makePacket(serviceOf(port), caller(port), OpeningFlag | AcknowledgingFlag, 1000, 1));
            this->send(port, 1);
            this->wait(50ms);
            this->answer(port);
        }
        this->delivered.clear();
    }

    static Address serviceOf(uint16_t port) { return { port < 7 ? 0xC6120001 : 0xC6120002, 443 }; }

    void collect()
    {
        for (const SendToUpstream* sent : this->actionsOf<SendToUpstream>()) {
            const Segment segment = *this->codec.parse(sent->packet);
            this->delivered.emplace_back(segment.source.port, segment.sequence);
        }
        this->actions.clear();
    }

    void send(uint16_t port, uint32_t sequence, uint8_t flags = AcknowledgingFlag, size_t dataBytes = 100)
    {
        this->receive(makePacket(caller(port), serviceOf(port), flags, sequence, 1001, dataBytes));
        this->collect();
    }

    /** Callers of flows 1 to @p flows each send the first packet of a request. */
    void rush(uint16_t flows)
    {
        for (uint16_t port = 1; port <= flows; ++port) {
            this->send(port, 101);
        }
    }

    void answer(uint16_t port, uint8_t flags = AcknowledgingFlag)
    {
        this->fromUpstream(makePacket(serviceOf(port), caller(port), flags, 1001, 1, 500));
        this->collect();
    }

    void wait(Duration span)
    {
        this->advance(span);
        this->collect();
    }

    size_t held() const { return this->agent.metrics().gauges[2].second; }
};

} // namespace

TEST_GROUP(PacketHold) {};

/** Load: a rush on open flows, which filled the upstream's own queue until it shed. */
TEST(PacketHold, InARushTheUpstreamGetsAShortQueueAndEachAnswerReleasesOneRequest)
{
    HoldScene scene(8);
    scene.rush(8);
    for (uint16_t port = 1; port <= 8; ++port) {
        CHECK_EQUAL(std::min<size_t>(8, places + port - 1U), scene.delivered.size());
        scene.answer(port);
    }
    HoldScene without(8, packetRules); // These rules state neither priority nor time budget.
    without.rush(8);
    CHECK_EQUAL(8, without.delivered.size());
}

/** Load: bookings in a rush of streams. */
TEST(PacketHold, AHeldBookingLeavesBeforeAHeldStream)
{
    HoldScene scene(7);
    scene.rush(7);
    scene.answer(1);
    CHECK_EQUAL(7, scene.delivered.back().first);
}

/** Load: a rush that lasts longer than the callers' first retransmissions. */
TEST(PacketHold, CopiesOfHeldPacketsReachTheUpstreamOnceAndInOrder)
{
    HoldScene scene(4);
    scene.rush(4);
    scene.delivered.clear();
    scene.send(4, 201);
    scene.send(4, 301, AcknowledgingFlag | FinishingFlag, 0);
    scene.wait(200ms);
    scene.send(4, 101);
    scene.send(4, 201);
    CHECK_EQUAL(0, scene.delivered.size());
    scene.answer(2);
    CHECK(scene.delivered == (Delivered { { 4, 101 }, { 4, 201 }, { 4, 301 } }));
}

/** Load: uploads of many packets at the same time; until they have arrived the upstream's slots are free. */
TEST(PacketHold, AnUploadPassesAndTakesNoPlaceWhileItArrives)
{
    HoldScene scene(4);
    for (uint32_t part = 0; part < 60; ++part) {
        scene.send(static_cast<uint16_t>(part % 3 + 1), 101 + part / 3 * 100);
    }
    scene.send(4, 101);
    CHECK_EQUAL(61, scene.delivered.size());
}

/** Failures while requests are held: the upstream restarts, ends or closes a flow, the agent stops, a caller resets its flow. */
TEST(PacketHold, NoHeldRequestIsLostSilently)
{
    const auto check = [](const Delivered& expected, auto fail) {
        HoldScene scene(5);
        scene.rush(5);
        scene.delivered.clear();
        fail(scene);
        scene.wait(50ms);
        CHECK(scene.delivered == expected);
    };
    const Delivered all { { 4, 101 }, { 5, 101 } };
    check(all, [](HoldScene& scene) { CHECK(scene.report(1, 2, {}, false, "u2", 900'000)); });
    check(all, [](HoldScene& scene) { scene.agent.onUpstreamDeregistered(scene.now, "u1", std::nullopt); });
    check(all, [](HoldScene& scene) { scene.agent.beginStop(scene.now, scene.actions); });
    check({ { 4, 101 } }, [](HoldScene& scene) { scene.answer(4, AcknowledgingFlag | FinishingFlag); });
    check({ { 4, 200 }, { 5, 101 } }, [](HoldScene& scene) {
        scene.send(4, 200, ResetFlag, 0);
        scene.answer(1);
    });
}

/** Failure pattern: an upstream that stops answering. Held requests leave while their callers still wait, and places come back. */
TEST(PacketHold, AnUpstreamThatDoesNotAnswerBlocksTheQueueNoLongerThanCallersWait)
{
    HoldScene scene(5);
    scene.rush(4);
    for (int step = 1; step <= 60; ++step) {
        CHECK(step <= 39 || scene.held() == 0); // From 1.95 s of the budget of 2 s on.
        scene.wait(50ms);
    }
    scene.send(5, 101);
    CHECK_EQUAL(0, scene.held());
}

/** Load: more requests than can be answered in time, and floods that would fill the memory. */
TEST(PacketHold, WhatCannotBeAnsweredInTimeOrKeptIsPassedOn)
{
    RequestQueue queue;
    const RouteRule stream { .shares = {}, .latencyGoal = 400ms, .timeout = 2s, .priority = 2 };
    const RouteRule booking { .shares = {}, .latencyGoal = 400ms, .timeout = 2s, .priority = 1 };
    UpstreamLoad load { .slots = 4, .placesTaken = 6, .pending = 6, .processing = 55ms };
    uint16_t port = 0;
    const auto add = [&] {
        const FlowKey flow { caller(++port), packetService };
        const bool isHeld = queue.admit(10s, flow, { &stream }, load) == RequestAdmission::Hold;
        for (uint32_t part = 0; isHeld && part < 20; ++part) {
            part == 0 ? queue.hold(10s, flow, { &stream }, load, { 1, Bytes(1231) }) : (void)queue.follow(flow, { part * 1200, Bytes(1231) });
        }
        return isHeld;
    };
    while (add()) { }
    CHECK(queue.size() >= 15 && queue.size() <= 20); // The last one waits for some 300 ms.
    CHECK(queue.admit(10s, { caller(port), HoldScene::serviceOf(7) }, { &booking }, load) == RequestAdmission::Hold);
    load.processing = std::nullopt;
    while (add()) { }
    CHECK(queue.bytes() <= RequestQueue::maximumBytes && queue.size() <= RequestQueue::maximumRequests);
}

/** Over random histories: order kept in each flow, nothing delivered twice or lost, no place left free, the most urgent first. */
TEST(PacketHold, AnyHistoryKeepsOrderAndUrgencyAndLosesNothing)
{
    CHECK_TRUE(rc::check("held requests", [] {
        HoldScene scene(8);
        std::array<uint32_t, 9> sent {}; // Packets by port.
        std::array<uint32_t, 9> arrived {};
        std::deque<uint16_t> atUpstream;
        const auto settle = [&] {
            for (const auto& [port, sequence] : std::exchange(scene.delivered, {})) {
                RC_ASSERT(sequence == 101 + 100 * arrived[port]++);
                if (std::find(atUpstream.begin(), atUpstream.end(), port) == atUpstream.end()) {
                    atUpstream.push_back(port);
                    RC_ASSERT(port >= 7 || (arrived[7] == sent[7] && arrived[8] == sent[8]));
                }
            }
            RC_ASSERT(scene.held() == 0 || atUpstream.size() >= places);
        };
        const auto answerOldest = [&] {
            scene.wait(40ms);
            scene.answer(std::exchange(atUpstream.front(), 0));
            atUpstream.pop_front();
            settle();
        };
        for (const uint16_t step : *rc::gen::container<std::vector<uint16_t>>(rc::gen::inRange<uint16_t>(0, 40))) {
            const uint16_t port = step % 8 + 1;
            if (step < 24) {
                scene.send(port, 101 + 100 * sent[port]++);
            } else if (step < 32 && sent[port] > arrived[port]) {
                scene.send(port, 1 + 100 * sent[port]); // A copy of a held packet.
            } else if (!atUpstream.empty()) {
                answerOldest();
            }
            settle();
        }
        while (!atUpstream.empty()) {
            answerOldest();
        }
        RC_ASSERT(sent == arrived);
    }));
}
