/** @file agent_property_test.cpp A flow has exactly one owner, for every order of deliveries and for agents that leave in random order. */
#include "test_network.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

/** Two copies of one opening packet, sent by balancers whose views differ by one change. */
struct CrossedOpening {
    std::vector<MemberRecord> oldRecords;
    std::vector<MemberRecord> newRecords;
    TimePoint oldChanged {}; ///< When the old view last changed; after a recent change it routes by earlier homes too.
};

/**
 * Delivers the messages in one order.
 * @param choices Index of the message to deliver at each step; extended by zeros if it is too short.
 * @param widths Set to the number of messages in flight at each step.
 * @return Number of owners of the flow afterwards.
 */
size_t ownersAfter(const CrossedOpening& scene, const FlowKey& flow, std::vector<size_t>& choices, std::vector<size_t>& widths)
{
    TestNetwork network(3);
    network.now = 100s;
    const TestView oldView(scene.oldChanged, scene.oldRecords);
    const TestView newView(network.now, scene.newRecords);
    network.inFlight.clear();
    for (const TestView* view : { &oldView, &newView }) {
        const ForwardedPacket forwarded = view->route(network.now, openingPacket(flow));
        network.send(forwarded.candidates.front(), forwarded);
    }
    widths.clear();
    for (size_t step = 0; !network.inFlight.empty(); ++step) {
        if (step >= choices.size()) {
            choices.push_back(0);
        }
        widths.push_back(network.inFlight.size());
        network.deliver(choices[step]);
    }
    return network.owners(flow).size();
}

/** Tries every order of deliveries. @return Number of orders, or 0 if any of them led to none or several owners. */
size_t tryAllOrders(const CrossedOpening& scene, const FlowKey& flow)
{
    std::vector<size_t> choices;
    std::vector<size_t> widths;
    for (size_t orders = 1;; ++orders) {
        if (ownersAfter(scene, flow, choices, widths) != 1) {
            return 0;
        }
        choices.resize(widths.size());
        while (!choices.empty() && choices.back() + 1 >= widths[choices.size() - 1]) {
            choices.pop_back();
        }
        if (choices.empty()) {
            return orders;
        }
        ++choices.back();
    }
}

void checkAllOrders(const CrossedOpening& scene)
{
    size_t orders = 0;
    for (uint16_t port = 4000; port < 4200; ++port) {
        const size_t tried = tryAllOrders(scene, testFlow(port));
        CHECK_TRUE(tried > 0);
        orders += tried;
    }
    CHECK_TRUE(orders > 200); // More than one order for some of the 200 flows: their copies crossed.
}

} // namespace

TEST_GROUP(OneOwner) {};

TEST(OneOwner, AgentJoinsBetweenTwoCopies)
{
    checkAllOrders({ { agentRecord(0), agentRecord(1) }, { agentRecord(0), agentRecord(1), agentRecord(2) }, 0s });
}

TEST(OneOwner, AgentDrainsBetweenTwoCopies)
{
    checkAllOrders({ { agentRecord(0), agentRecord(1), agentRecord(2) }, { agentRecord(0), agentRecord(1), agentRecord(2, MemberState::Draining, 2) }, 0s });
}

TEST(OneOwner, BothViewsChangedRecently)
{
    checkAllOrders({ { agentRecord(0), agentRecord(1) }, { agentRecord(0), agentRecord(1), agentRecord(2) }, 99s });
}

TEST(OneOwner, FlowSurvivesAnyOrderOfLeavingAgents)
{
    // Agents leave one after the other in any order, with any number of ticks in between; one stays.
    CHECK_TRUE(rc::check("flow survives", [] {
        constexpr uint32_t count = 5;
        TestNetwork network(count);
        std::vector<MemberRecord> records;
        for (uint32_t index = 0; index < count; ++index) {
            records.push_back(agentRecord(index));
        }
        const FlowKey flow = testFlow(static_cast<uint16_t>(*rc::gen::inRange(1024, 60000)));
        const TestView first(0s, records);
        const ForwardedPacket opening = first.route(network.now, openingPacket(flow));
        network.send(opening.candidates.front(), opening);
        network.deliverAll();
        const int leaving = *rc::gen::inRange(1, 5);
        for (int step = 0; step < leaving; ++step) {
            const auto index = static_cast<uint32_t>(*rc::gen::inRange(0, static_cast<int>(count)));
            if (records[index].state == MemberState::Draining
                || std::count_if(records.begin(), records.end(), [](const auto& record) { return record.state == MemberState::Ready; }) == 1) {
                continue;
            }
            records[index].state = MemberState::Draining;
            records[index].version += 1;
            network.agents[index]->beginStop();
            if (*rc::gen::arbitrary<bool>()) {
                network.setPeers(records);
            }
            network.advance(std::chrono::milliseconds(50 * *rc::gen::inRange(1, 20)));
        }
        network.setPeers(records);
        network.advance(2s);
        RC_ASSERT(network.owners(flow).size() == 1U);
        const TestView last(0s, records);
        const ForwardedPacket request = last.route(network.now, requestPacket(flow, 1));
        network.send(request.candidates.front(), request);
        network.deliverAll();
        network.advance(500ms);
        RC_ASSERT(network.handOvers.size() == 1U);
        RC_ASSERT(network.notices(FlowEvent::Lost) == 0U);
    }));
}
