/** @file route_choice_test.cpp Routes with several services: their shares of the flows, and what a change of weights moves. */
#include "balancer/balancer_base.h"
#include "packet_test.h"
#include "steer/route_history.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

TEST_GROUP(RouteChoice) {};

namespace {

constexpr uint32_t flowCount = 10'000;
const uint64_t orders = hashText("orders");
const uint64_t proofs = hashText("proofs");

FlowKey flowOf(uint32_t number) { return { { 0x64400000 + number / 50, static_cast<uint16_t>(1024 + number % 50) }, packetService }; }

std::string splitRules(std::string_view services)
{
    return "service orders # t\nservice proofs # t\nroute 198.18.0.1:443 to " + std::string(services) + " # t\nannounce orders in * # t\nannounce proofs in * # t\n";
}

/** A balancer that knows some agents: hosts 1..9 of "orders", 10 and up of "proofs". */
struct SplitBalancer {
    platform::PacketCodec codec;
    SeededRandom random { 1 };
    NullEventSink events;
    Balancer balancer { { .address = packetBalancer, .zone = "a" }, makeSteering("packets", "a"), this->random };
    TimePoint now = 100s;
    uint64_t revision = 0;

    explicit SplitBalancer(std::string_view services, const std::vector<uint32_t>& hosts = { 1, 2, 10 })
    {
        this->balancer.enableOpaquePackets(this->codec, this->events);
        this->apply(services);
        Actions actions;
        for (uint32_t host : hosts) {
            this->balancer.onMessage(this->now,
                Announce { .record = { .address = { host, 7000 }, .role = MemberRole::Agent, .zone = "a", .service = host < 10 ? "orders" : "proofs", .incarnation = 1, .version = 1, .slots = 2, .weight = 200 } }, actions);
        }
        this->balancer.tick(this->now, actions);
    }

    void apply(std::string_view services) { CHECK(this->balancer.onConfiguration(this->now, { .revision = revisionAt(++this->revision), .text = splitRules(services) }).ok()); }

    /** Gives the balancer a caller's packet. @return What it sends to an agent; without a service if it sends nothing. */
    ForwardedPacket send(const FlowKey& flow, uint8_t flags, uint32_t copy = 0)
    {
        const PacketMark mark = flags == OpeningFlag ? PacketMark::Opening : PacketMark::Established;
        Actions actions;
        this->balancer.onCallerPacket(this->now, { .flow = flow, .mark = mark, .payload = makePacket(flow.caller, flow.service, flags, 1, copy) }, actions);
        for (const Action& action : actions) {
            if (const auto* message = std::get_if<SendMessage>(&action)) {
                return std::get<ForwardedPacket>(message->message);
            }
        }
        return {};
    }
};

} // namespace

/** A canary of a tenth: each service gets its share of 10,000 flows within 2% of all. */
TEST(RouteChoice, FlowsDivideByWeight)
{
    const std::vector<WeightedService> shares { { orders, 90 }, { proofs, 10 }, { hashText("idle"), 0 } };
    uint32_t atOrders = 0;
    for (uint32_t number = 0; number < flowCount; ++number) {
        const uint64_t chosen = *chooseService(shares, flowOf(number));
        CHECK(chosen == orders || chosen == proofs);
        atOrders += chosen == orders ? 1 : 0;
    }
    CHECK(atOrders > flowCount * 88 / 100 && atOrders < flowCount * 92 / 100);
}

/** A canary that grows from a tenth to a half: no flow leaves the service that grows, and as many join it as must. */
TEST(RouteChoice, AChangeOfWeightsMovesOnlyTheShareThatMustMove)
{
    const std::vector<WeightedService> before { { orders, 90 }, { proofs, 10 } };
    const std::vector<WeightedService> after { { proofs, 50 }, { orders, 50 } };
    uint32_t joined = 0;
    for (uint32_t number = 0; number < flowCount; ++number) {
        const bool wasProofs = *chooseService(before, flowOf(number)) == proofs;
        const bool isProofs = *chooseService(after, flowOf(number)) == proofs;
        CHECK(isProofs || !wasProofs);
        joined += isProofs && !wasProofs ? 1 : 0;
    }
    CHECK(joined > flowCount * 38 / 100 && joined < flowCount * 42 / 100);
}

/** Copies of an opening packet and the packets after it, through balancers that know different agents. */
TEST(RouteChoice, AllPacketsOfAFlowGoToOneServiceWhateverTheView)
{
    SplitBalancer one("orders 60 proofs 40", { 1, 10 });
    SplitBalancer two("proofs 40 orders 60", { 2, 3, 4, 11 });
    SplitBalancer three("orders 60 proofs 40", { 10, 11, 12, 5 });
    uint32_t flows = 0;
    CHECK(rc::check("one service for all copies and packets", [&](uint16_t port) {
        const FlowKey flow { { 0x64400000U + ++flows, static_cast<uint16_t>(port | 1U) }, packetService };
        const uint64_t service = one.send(flow, OpeningFlag).service;
        const bool isNamed = service == orders || service == proofs;
        RC_ASSERT(isNamed);
        RC_ASSERT(two.send(flow, OpeningFlag, 1).service == service);
        RC_ASSERT(three.send(flow, OpeningFlag, 2).service == service);
        for (SplitBalancer* balancer : { &one, &two, &three }) {
            RC_ASSERT(balancer->send(flow, AcknowledgingFlag).service == service);
        }
    }));
}

/** A route leaves a service: the balancer that knows an open flow's owner sends its packets there still, and new flows nowhere but by the rules. */
TEST(RouteChoice, AnOpenFlowStaysWhenItsServiceIsNoLongerNamed)
{
    SplitBalancer scene("orders");
    const FlowKey flow = flowOf(1);
    (void)scene.send(flow, OpeningFlag);
    Actions actions;
    scene.balancer.onMessage(scene.now, OpeningOutcome { .flow = flow, .agent = { 2, 7000 }, .result = OpeningResult::Accepted, .service = orders }, actions);
    scene.apply("proofs");
    CHECK(scene.send(flow, AcknowledgingFlag).service == orders);
    CHECK(scene.send(flow, AcknowledgingFlag).candidates.front() == (Address { 2, 7000 }));
    CHECK(scene.send(flow, OpeningFlag, 1).service == proofs);
}

/** The same through balancers that did not see the opening: the former service is first while it is likelier, and stays in the list. */
TEST(RouteChoice, AnUnknownFlowIsLookedForInFormerServicesToo)
{
    SplitBalancer scene("orders");
    scene.apply("proofs");
    CHECK(scene.send(flowOf(1), AcknowledgingFlag).service == orders);
    scene.now += 11s;
    const ForwardedPacket later = scene.send(flowOf(1), AcknowledgingFlag);
    CHECK(later.service == proofs);
    CHECK_EQUAL(2, later.otherServices.size());
    CHECK(later.otherServices[0].service == orders && later.otherServices[1].service == proofs);
    // A report of the owner saves the way through the other service.
    Actions actions;
    scene.balancer.onMessage(scene.now, OpeningOutcome { .flow = flowOf(1), .agent = { 1, 7000 }, .result = OpeningResult::Accepted, .service = orders, .isOpen = true }, actions);
    CHECK(scene.send(flowOf(1), AcknowledgingFlag).candidates.front() == (Address { 1, 7000 }));
    scene.now += 1h;
    CHECK(scene.send(flowOf(2), AcknowledgingFlag).otherServices.empty());
}

/** A route with one service that never changed carries no list, and openings never do. */
TEST(RouteChoice, OnlyOpenFlowsOfSplitRoutesCarryOtherServices)
{
    CHECK(SplitBalancer("orders").send(flowOf(1), AcknowledgingFlag).otherServices.empty());
    SplitBalancer split("orders 1 proofs 1");
    CHECK(split.send(flowOf(1), OpeningFlag).otherServices.empty());
    CHECK_EQUAL(2, split.send(flowOf(1), AcknowledgingFlag).otherServices.size());
    const auto series = split.balancer.metrics().labelledCounters;
    CHECK_EQUAL(4, series.size());
    CHECK_EQUAL(1, series[0].value + series[1].value);
    CHECK_EQUAL(1, series[2].value + series[3].value);
}
