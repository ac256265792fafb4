/** @file agent_lookup_test.cpp Packets of idle flows reach their owners although an agent on the way has ended. */
#include "test_network.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

constexpr uint32_t agentCount = 8;
constexpr uint32_t earlierAgentCount = 4; ///< The other agents joined after the flows had been opened, so that most flows have a new home.
constexpr Duration idleTime = 11min; ///< By then no agent remembers the owner of another agent's flow.
constexpr Duration initialInterval = 200ms; ///< From the first packet of a request to its first retransmission (docs/design/exchange.md).
constexpr Duration maximumInterval = 800ms; ///< Between later retransmissions (docs/design/exchange.md).
constexpr Duration requestTime = 4s; ///< RequestPart::remainingMs of requestPacket(): the caller gives up after it.

std::vector<MemberRecord> readyAgents(uint32_t count)
{
    std::vector<MemberRecord> records;
    for (uint32_t index = 0; index < count; ++index) {
        records.push_back(agentRecord(index));
    }
    return records;
}

/** Opens a flow at its home in a balancer's view. @return The flow's owner. */
Address openFlow(TestNetwork& network, const TestView& view, const FlowKey& flow)
{
    ForwardedPacket forwarded = view.route(network.now, openingPacket(flow));
    forwarded.isPlaced = true; // Its home has chosen itself.
    network.send(forwarded.home, forwarded);
    network.deliverAll();
    const std::vector<Address> owners = network.owners(flow);
    CHECK_EQUAL(1U, owners.size());
    CHECK_TRUE(owners.front() == forwarded.home);
    return owners.front();
}

/** True if an agent has received a part of a request of the flow. */
bool hasRequest(TestNetwork& network, Address owner, const FlowKey& flow)
{
    const FlowTable& flows = network.find(owner)->flowTable();
    const auto found = flows.find(flow);
    return found != flows.end() && !found->second.requests.empty();
}

/** Sends a request as callers do, until the owner has it. @return False if the caller gave up before. */
bool sendUntilOwnerHasIt(TestNetwork& network, const TestView& view, Address owner, const FlowKey& flow)
{
    const TimePoint deadline = network.now + requestTime;
    for (Duration interval = initialInterval; network.now < deadline; interval = std::min<Duration>(interval * 3 / 2, maximumInterval)) {
        const ForwardedPacket forwarded = view.route(network.now, requestPacket(flow, 1));
        network.send(forwarded.candidates.front(), forwarded);
        network.deliverAll();
        network.advance(std::min<Duration>(interval, deadline - network.now));
        if (hasRequest(network, owner, flow)) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(AgentLookup) {};

/** Requests of idle flows vanished at an agent that had ended, until the other agents heard of that 5 s later. */
TEST(AgentLookup, AnEndedAgentOnTheWayDoesNotHideAnIdleFlow)
{
    TestNetwork network(agentCount);
    const TestView before(0s, readyAgents(earlierAgentCount));
    const TestView after(0s, readyAgents(agentCount));
    std::map<uint16_t, Address> owners;
    for (uint16_t port = 4000; port < 4200; ++port) {
        owners[port] = openFlow(network, before, testFlow(port));
    }
    network.now += idleTime;
    network.advance(1s);
    size_t flowsBehindIt = 0;
    size_t unanswered = 0;
    for (const auto& [port, owner] : owners) {
        const std::vector<Address> way = after.route(network.now, requestPacket(testFlow(port), 1)).candidates;
        if (way[0] == owner || way[1] == owner) {
            continue; // The packet reaches the owner without the agent that has ended.
        }
        ++flowsBehindIt;
        network.ended = { way[1] };
        unanswered += sendUntilOwnerHasIt(network, after, owner, testFlow(port)) ? 0 : 1;
    }
    CHECK_TRUE(flowsBehindIt > 20);
    CHECK_EQUAL(0U, unanswered);
    CHECK_EQUAL(0U, network.notices(FlowEvent::Lost));
}
