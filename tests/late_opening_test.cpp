/** @file late_opening_test.cpp A refusal of an opening is not told once a later copy of it may have been placed by another balancer. */
#include "balancer/balancer_base.h"
#include "packet_test.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

namespace {

const Address agent { 0x0A010002, 7000 };

/** A balancer that has served one agent for some seconds. */
struct LateScene {
    platform::PacketCodec codec;
    SeededRandom random { 1 };
    NullEventSink events;
    Balancer balancer { { .address = packetBalancer, .zone = "a" }, makeSteering("packets", "a"), this->random };
    TimePoint now = 100s;

    explicit LateScene(std::string_view routeOptions = "")
    {
        this->balancer.enableOpaquePackets(this->codec, this->events);
        const std::string rules = "service orders # t\nroute 198.18.0.1:443 to orders" + std::string(routeOptions) + " # t\nannounce orders in * # t\n";
        CHECK(this->balancer.onConfiguration(this->now, { .revision = revisionAt(1), .text = rules }).ok());
        Actions actions;
        this->balancer.onMessage(this->now,
            Announce { .record = { .address = agent, .role = MemberRole::Agent, .zone = "a", .service = "orders", .incarnation = 1, .version = 1, .slots = 2, .weight = 200 } }, actions);
        this->balancer.tick(this->now, actions);
        this->now += 2s;
        this->balancer.tick(this->now, actions);
    }

    /** A caller's original opening arrives, and the only agent answers after some time that it does not take it. @return True if the caller is told. */
    bool isReset(Duration waited, Duration answerTime, const OpeningOutcome& answer)
    {
        Actions actions;
        const FlowKey& flow = answer.flow;
        this->balancer.onCallerPacket(this->now, { .flow = flow, .mark = PacketMark::Opening, .payload = makePacket(flow.caller, flow.service, OpeningFlag, 1) }, actions, waited);
        this->now += answerTime;
        this->balancer.onMessage(this->now, answer, actions);
        return std::any_of(actions.begin(), actions.end(), [](const Action& action) { return std::holds_alternative<SendToCaller>(action); });
    }

    /** The agent refuses it. */
    bool isRefusalTold(Duration waited, Duration answerTime)
    {
        return this->isReset(waited, answerTime, { .flow = { caller(1), packetService }, .agent = agent, .result = OpeningResult::Refused, .slots = 2, .service = hashText("orders") });
    }

    /** The agent is full, and its upstream would answer after the route's timeout. */
    bool isUnservableTold(Duration waited)
    {
        return this->isReset(waited, 10ms,
            { .flow = { caller(1), packetService }, .agent = agent, .result = OpeningResult::Full, .busy = 7, .slots = 2, .limit = 7, .processingMs = 1000, .service = hashText("orders") });
    }

    /** No agent is left. */
    bool isTotalLossTold(Duration waited)
    {
        Actions actions;
        this->balancer.onMessage(this->now,
            Announce { .record = { .address = agent, .role = MemberRole::Agent, .zone = "a", .service = "orders", .incarnation = 1, .version = 2, .state = MemberState::NoUpstream, .liveness = Liveness::Gone, .slots = 2, .weight = 200 } }, actions);
        this->balancer.tick(this->now, actions);
        return this->isReset(waited, 0ms, { .flow = { caller(1), packetService }, .agent = agent, .result = OpeningResult::Refused });
    }
};

} // namespace

TEST_GROUP(LateOpening) {};

/** What can't be served is refused at once. */
TEST(LateOpening, ARefusedOriginalIsToldAtOnce)
{
    CHECK_TRUE(LateScene().isRefusalTold(0ms, 10ms));
    CHECK_TRUE(LateScene().isRefusalTold(50ms, 10ms)); // As long as a process sleeps between two ticks.
    CHECK_TRUE(LateScene(" timeout 2000").isUnservableTold(50ms));
    CHECK_TRUE(LateScene().isTotalLossTold(50ms));
}

/** Guards against the reset of an open flow: this balancer was suspended, and the caller's copy has been placed by the next one. */
TEST(LateOpening, AnOriginalThatWaitedUntilItsCopyWasSentIsNotReset)
{
    CHECK_FALSE(LateScene().isRefusalTold(1s, 10ms));
    CHECK_FALSE(LateScene(" timeout 2000").isUnservableTold(1s));
    CHECK_FALSE(LateScene().isTotalLossTold(1s));
}

/** The same for an agent whose refusal comes late. */
TEST(LateOpening, AnOriginalIsNotResetByALateRefusal)
{
    CHECK_FALSE(LateScene().isRefusalTold(0ms, 200ms));
    CHECK_FALSE(LateScene().isRefusalTold(120ms, 60ms));
}
