/** @file opening_tracker_test.cpp Offers of opening packets: free slots first, then the shortest queue; dead agents cost little. */
#include "balancer/opening_tracker.h"
#include "packet_test.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

namespace {

struct OfferScene {
    Counters counters;
    NullEventSink events;
    OpeningTracker tracker { this->counters, this->events };
    std::vector<Address> agents;
    TimePoint now = 10s;
    Actions actions;

    explicit OfferScene(size_t count)
    {
        for (uint32_t index = 0; index < count; ++index) {
            this->agents.push_back({ 0x0A010000 + index, 7000 });
        }
    }

    void open(uint16_t port, uint32_t copy = 0)
    {
        this->actions.clear();
        ForwardedPacket forwarded { .packet = { .flow = { caller(port), packetService }, .mark = PacketMark::Opening, .payload = { 1 } }, .candidates = this->agents };
        this->tracker.open(this->now, std::move(forwarded), copy, this->actions);
    }

    /** An agent of two slots and five places in all answers. @param queue Requests beyond the slots, where it is busy. */
    void answer(uint16_t port, Address agent, OpeningResult result, uint16_t queue = 0)
    {
        constexpr uint16_t slots = 2;
        constexpr uint16_t limit = 7;
        OpeningOutcome outcome { { caller(port), packetService }, agent, result, 1, slots, limit };
        if (result == OpeningResult::Busy) {
            outcome.busy = static_cast<uint16_t>(slots + queue);
        } else if (result == OpeningResult::Full) {
            outcome.busy = limit;
        } else if (result == OpeningResult::Refused) {
            outcome.limit = 0;
        }
        this->actions.clear();
        this->tracker.onOutcome(this->now, outcome, this->actions);
    }

    void advance(Duration span)
    {
        this->actions.clear();
        for (const TimePoint end = this->now + span; this->now < end;) {
            this->now += 10ms;
            (void)this->tracker.tick(this->now, this->actions);
        }
    }

    /** Who has the offer; not valid where nobody got one in the last step. */
    Address offered() const
    {
        return this->actions.empty() ? Address {} : std::get<SendMessage>(this->actions.back()).to;
    }

    bool isPlaced() const { return std::get<ForwardedPacket>(std::get<SendMessage>(this->actions.back()).message).isPlaced; }
};

} // namespace

TEST_GROUP(OpeningTracker) {};

TEST(OpeningTracker, ABusyAgentPassesTheOfferOn)
{
    OfferScene scene(3);
    scene.open(1);
    CHECK(scene.offered() == scene.agents[0]);
    scene.answer(1, scene.agents[0], OpeningResult::Busy, 1);
    CHECK(scene.offered() == scene.agents[1]);
    scene.answer(1, scene.agents[1], OpeningResult::Accepted);
    CHECK(scene.tracker.takeRefused().empty());
}

/** Pattern: overload. Work goes to the shortest queue seen. */
TEST(OpeningTracker, TheShortestQueueTakesWhatFindsNoFreeSlot)
{
    OfferScene scene(3);
    scene.open(1);
    scene.answer(1, scene.agents[0], OpeningResult::Busy, 4);
    scene.answer(1, scene.agents[1], OpeningResult::Busy, 1);
    scene.answer(1, scene.agents[2], OpeningResult::Busy, 3);
    CHECK(scene.offered() == scene.agents[1]);
    CHECK(scene.isPlaced());
}

TEST(OpeningTracker, FullQueuesAreDeferredAndLeavingUpstreamsRefused)
{
    OfferScene scene(2);
    scene.open(1);
    scene.answer(1, scene.agents[0], OpeningResult::Refused);
    scene.answer(1, scene.agents[1], OpeningResult::Full);
    const auto deferred = scene.tracker.takeRefused();
    CHECK_EQUAL(1, deferred.size());
    CHECK(deferred.front().isFull);
    scene.advance(40ms); // What the agents said is old by now.
    scene.open(2);
    scene.answer(2, scene.agents[0], OpeningResult::Refused);
    scene.answer(2, scene.agents[1], OpeningResult::Refused);
    CHECK_FALSE(scene.tracker.takeRefused().front().isFull);
}

/** Pattern: a cut network. Two agents in a row are out of reach, and the caller's first copy is not needed. */
TEST(OpeningTracker, TwoDeadAgentsCostLessThanTheCallersFirstCopy)
{
    OfferScene scene(3);
    scene.open(1);
    scene.advance(140ms);
    CHECK(scene.offered() == scene.agents[2]);
    CHECK_EQUAL(2, scene.counters.get(Counter::AgentsAvoided));
    scene.open(2);
    CHECK(scene.offered() == scene.agents[2]); // The others are passed over.
}

TEST(OpeningTracker, AnAgentThatIsHeardAgainIsOfferedWorkAgain)
{
    OfferScene scene(2);
    scene.open(1);
    scene.advance(70ms);
    scene.tracker.onHeard(scene.agents[0]);
    scene.open(2);
    CHECK(scene.offered() == scene.agents[0]);
}

TEST(OpeningTracker, APauseOfTheBalancerIsNoFaultOfTheAgents)
{
    OfferScene scene(2);
    (void)scene.tracker.tick(scene.now, scene.actions);
    scene.open(1);
    scene.now += 2s;
    (void)scene.tracker.tick(scene.now, scene.actions);
    CHECK_EQUAL(0, scene.counters.get(Counter::AgentsAvoided));
}

TEST(OpeningTracker, LaterPacketsGoToTheOwnerFirst)
{
    OfferScene scene(3);
    scene.open(1);
    scene.answer(1, scene.agents[0], OpeningResult::Busy);
    scene.answer(1, scene.agents[1], OpeningResult::Accepted);
    ForwardedPacket packet { .packet = { .flow = { caller(1), packetService }, .mark = PacketMark::Middle }, .candidates = scene.agents };
    scene.tracker.arrange(scene.now, packet);
    CHECK(packet.candidates.front() == scene.agents[1]);
    CHECK_EQUAL(3, packet.candidates.size());
}

TEST(OpeningTracker, ACopyGoesToTheOwnerAndToNobodyElse)
{
    OfferScene scene(2);
    scene.open(1);
    scene.open(1);
    CHECK(scene.actions.empty()); // The first agent still has the offer.
    scene.answer(1, scene.agents[0], OpeningResult::Accepted);
    scene.open(1);
    CHECK(scene.offered() == scene.agents[0]);
}

/** Pattern: overload after a common restart. Every opening used to be offered to every agent, and the answers took the processor. */
TEST(OpeningTracker, AgentsThatJustSaidFullAreNotAskedAgain)
{
    OfferScene scene(3);
    scene.open(1);
    for (Address agent : scene.agents) {
        scene.answer(1, agent, OpeningResult::Full);
    }
    CHECK(scene.tracker.takeRefused().front().isFull);
    scene.open(2);
    CHECK(scene.actions.empty());
    CHECK(scene.tracker.takeRefused().front().isFull);
    scene.advance(40ms);
    scene.open(3);
    CHECK(scene.offered() == scene.agents[0]);
}

/** Pattern: overload. With all slots taken the next opening goes to the shortest queue by one message. */
TEST(OpeningTracker, KnownQueuesNeedNoQuestion)
{
    OfferScene scene(3);
    scene.open(1);
    scene.answer(1, scene.agents[0], OpeningResult::Busy, 4);
    scene.answer(1, scene.agents[1], OpeningResult::Busy, 1);
    scene.answer(1, scene.agents[2], OpeningResult::Busy, 3);
    scene.actions.clear();
    for (uint16_t port = 2; port <= 4; ++port) {
        scene.open(port);
        CHECK_EQUAL(1, scene.actions.size());
        CHECK(scene.isPlaced());
    }
    // The shortest had two places more than the next: its fourth guest since goes there.
    CHECK(scene.offered() == scene.agents[2]);
}

/** Pattern: herd. Openings between two answers of an agent do not all count on its one free slot. */
TEST(OpeningTracker, AFreeSlotIsCountedOnOnce)
{
    OfferScene scene(2);
    scene.open(1);
    scene.answer(1, scene.agents[0], OpeningResult::Accepted);
    scene.open(2);
    CHECK(scene.offered() == scene.agents[0]);
    scene.open(3);
    CHECK(scene.offered() == scene.agents[1]);
}

TEST(OpeningTracker, AQueueThatFilledMeanwhileIsNotTheLastWord)
{
    OfferScene scene(2);
    scene.open(1);
    scene.answer(1, scene.agents[0], OpeningResult::Busy, 1);
    scene.answer(1, scene.agents[1], OpeningResult::Busy, 2);
    CHECK(scene.offered() == scene.agents[0]);
    scene.answer(1, scene.agents[0], OpeningResult::Full);
    CHECK(scene.offered() == scene.agents[1]);
    CHECK(scene.isPlaced());
    scene.answer(1, scene.agents[1], OpeningResult::Full);
    CHECK(scene.tracker.takeRefused().front().isFull);
}

/** Pattern: overload. Behind the last copy nothing comes: its caller need not wait for its own time-out to try again. */
TEST(OpeningTracker, WhatFindsNoPlaceByAnyCopyIsGivenUpAtOnce)
{
    OfferScene scene(1);
    for (uint32_t copy = 0; copy <= 2; ++copy) {
        scene.open(1, copy);
        scene.answer(1, scene.agents[0], OpeningResult::Full);
        const auto refused = scene.tracker.takeRefused();
        CHECK_EQUAL(1, refused.size());
        CHECK_EQUAL(copy == 2, refused.front().isHopeless);
        scene.advance(200ms);
    }
    scene.open(1); // A new attempt from the same port begins anew.
    scene.answer(1, scene.agents[0], OpeningResult::Full);
    CHECK_FALSE(scene.tracker.takeRefused().front().isHopeless);
}

/** Another balancer may have placed a copy that this one did not see, and a silent agent may have taken its offer. */
TEST(OpeningTracker, NothingIsGivenUpThatMayBeOpenSomewhere)
{
    OfferScene scene(1);
    for (uint32_t copy = 1; copy <= 2; ++copy) {
        scene.open(1, copy);
        scene.answer(1, scene.agents[0], OpeningResult::Full);
        CHECK_FALSE(scene.tracker.takeRefused().front().isHopeless);
        scene.advance(200ms);
    }
    OfferScene silent(2);
    for (uint32_t copy = 0; copy <= 2; ++copy) {
        silent.open(1, copy);
        if (copy == 0) {
            silent.advance(70ms);
        }
        silent.answer(1, silent.agents[0], OpeningResult::Full);
        silent.answer(1, silent.agents[1], OpeningResult::Full);
        for (const RefusedOpening& refused : silent.tracker.takeRefused()) {
            CHECK_FALSE(refused.isHopeless);
        }
        silent.advance(200ms);
    }
}
