/** @file agent_test.cpp Ownership of flows: a single owner, lookup after membership changes, moves. */
#include "agent_test.h"

#include "core/text_func.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;

TEST_GROUP(Agent) {};

TEST(Agent, RepeatedOpeningHasOneOwner)
{
    TestNetwork network(3);
    const TestView view(0s, readyAgents(3));
    openFlow(network, view, testFlow());
    openFlow(network, view, testFlow());
    CHECK_EQUAL(2U, network.notices(FlowEvent::Accepted));
}

TEST(Agent, PacketOfAnotherServiceIsDropped)
{
    TestNetwork network(2);
    const TestView view(0s, readyAgents(2));
    ForwardedPacket forwarded = view.route(network.now, openingPacket(testFlow()));
    forwarded.service = hashText("proofs");
    network.send(forwarded.candidates.front(), forwarded);
    network.deliverAll();
    CHECK_TRUE(network.owners(testFlow()).empty());
    CHECK_EQUAL(1U, network.find(forwarded.candidates.front())->counters().get(Counter::PacketsWrongService));
}

TEST(Agent, RequestRunsOnceHoweverOftenItComes)
{
    TestNetwork network(2);
    const TestView view(0s, readyAgents(2));
    const Address owner = openFlow(network, view, testFlow());
    for (int copy = 0; copy < 3; ++copy) {
        sendThrough(network, view, requestPacket(testFlow(), 1));
    }
    CHECK_EQUAL(1U, network.handOvers.size());
    network.collect([&](Actions& actions) {
        network.find(owner)->onUpstreamResult(network.now, { network.handOvers[0].id, UpstreamOutcome::Answered, { 'y' } }, actions);
    });
    sendThrough(network, view, requestPacket(testFlow(), 1));
    CHECK_EQUAL(1U, network.handOvers.size());
    const size_t answers = static_cast<size_t>(std::count_if(network.toCallers.begin(), network.toCallers.end(), [](const FlowPayload& payload) {
        return std::holds_alternative<AnswerPart>(payload);
    }));
    CHECK_EQUAL(2U, answers);
}

TEST(Agent, FlowIsFoundAfterAnAgentJoins)
{
    // Guards against losing flows whose bucket has the joining agent as its new home.
    // They must still be found at their owner.
    for (uint16_t port = 4000; port < 4100; ++port) {
        TestNetwork network(3);
        const TestView before(0s, { agentRecord(0), agentRecord(1) });
        const Address owner = openFlow(network, before, testFlow(port));
        const TestView after(0s, readyAgents(3));
        sendThrough(network, after, requestPacket(testFlow(port), 1));
        CHECK_EQUAL(1U, network.handOvers.size());
        CHECK_TRUE(network.owners(testFlow(port)) == std::vector<Address> { owner });
    }
}

TEST(Agent, DrainingAgentHandsItsFlowsOver)
{
    TestNetwork network(3);
    const TestView view(0s, readyAgents(3));
    std::map<uint16_t, Address> owners;
    for (uint16_t port = 4000; port < 4060; ++port) {
        owners[port] = openFlow(network, view, testFlow(port));
    }
    Agent& leaving = *network.agents[0];
    leaving.beginStop();
    network.advance(1s);
    CHECK_TRUE(leaving.isDrained());
    const TestView after(0s, { agentRecord(1), agentRecord(2) });
    for (uint16_t port = 4000; port < 4060; ++port) {
        CHECK_EQUAL(1U, network.owners(testFlow(port)).size());
        sendThrough(network, after, requestPacket(testFlow(port), 1));
    }
    CHECK_EQUAL(60U, network.handOvers.size() + network.agents[1]->requestSystem().queued() + network.agents[2]->requestSystem().queued());
    CHECK_EQUAL(0U, network.notices(FlowEvent::Lost));
}

TEST(Agent, DrainingAgentBeginsNoWork)
{
    TestNetwork network(2);
    const TestView view(0s, readyAgents(2));
    const Address owner = openFlow(network, view, testFlow());
    Agent& leaving = *network.find(owner);
    leaving.beginStop();
    network.advance(50ms);
    sendThrough(network, view, requestPacket(testFlow(), 1));
    // The request runs at the other agent, or waits for the caller's retransmission; never at the leaving one.
    CHECK_EQUAL(0, leaving.requestSystem().inFlight());
    network.advance(500ms);
    sendThrough(network, view, requestPacket(testFlow(), 1));
    CHECK_EQUAL(1U, network.handOvers.size());
    CHECK_EQUAL(0, leaving.requestSystem().inFlight());
}

TEST(Agent, LeavingAgentBeginsNoWorkThoughNobodyTakesItsFlows)
{
    TestNetwork network(1);
    const TestView view(0s, readyAgents(1));
    openFlow(network, view, testFlow());
    network.agents[0]->beginStop();
    network.advance(50ms);
    sendThrough(network, view, requestPacket(testFlow(), 1));
    CHECK_EQUAL(0U, network.handOvers.size());
}

TEST(Agent, MovedRequestDoesNotRunAgain)
{
    TestNetwork network(2);
    const TestView view(0s, readyAgents(2));
    const Address owner = openFlow(network, view, testFlow());
    sendThrough(network, view, requestPacket(testFlow(), 1));
    network.collect([&](Actions& actions) {
        network.find(owner)->onUpstreamResult(network.now, { network.handOvers[0].id, UpstreamOutcome::Answered, {} }, actions);
    });
    const FlowPacket confirm { .flow = testFlow(), .payload = encodePayload(AnswerAck { .requestId = 1 }) };
    sendThrough(network, view, confirm);
    network.find(owner)->beginStop();
    network.advance(500ms);
    CHECK_TRUE(network.owners(testFlow()) != std::vector<Address> { owner });
    // A late copy of the request reaches the flow's new owner.
    sendThrough(network, view, requestPacket(testFlow(), 1));
    CHECK_EQUAL(1U, network.handOvers.size());
}

TEST(Agent, OldCopyOfAMoveIsNotTakenAgain)
{
    TestNetwork network(3);
    Agent& target = *network.agents[1];
    const FlowMove move {
        .service = hashText("orders"),
        .flow = testFlow(),
        .from = agentAddress(0),
        .finishedThrough = 3,
        .moveCount = 1,
    };
    network.send(agentAddress(1), move);
    network.deliverAll();
    CHECK_EQUAL(1U, target.flowTable().size());
    target.beginStop();
    network.advance(1s);
    CHECK_EQUAL(0U, target.flowTable().size());
    network.send(agentAddress(1), move);
    network.deliverAll();
    CHECK_EQUAL(0U, target.flowTable().size());
    CHECK_EQUAL(1U, network.owners(testFlow()).size());
}

TEST(Agent, StalePointerDoesNotRefuseAMove)
{
    // Guards against a failure during a rolling replacement: an agent that held a pointer for the flow replied that it took
    // the flow, but did not take it.
    TestNetwork network(3);
    ForwardedPacket forwarded {
        .packet = openingPacket(testFlow()),
        .service = hashText("orders"),
        .candidates = { agentAddress(1), agentAddress(2) },
        .home = agentAddress(2),
    };
    network.send(agentAddress(1), forwarded);
    network.deliverAll();
    network.send(agentAddress(1), FlowMove { .service = hashText("orders"), .flow = testFlow(9), .from = agentAddress(0), .moveCount = 1 });
    network.send(agentAddress(1), FlowMove { .service = hashText("orders"), .flow = testFlow(), .from = agentAddress(0), .moveCount = 1 });
    network.deliverAll();
    CHECK_EQUAL(2U, network.agents[1]->flowTable().size());
}

TEST(Agent, FlowIsLostOnlyAfterAllAgentsDeniedItTwice)
{
    TestNetwork network(3);
    network.advance(6s);
    const TestView view(0s, readyAgents(3));
    sendThrough(network, view, requestPacket(testFlow(), 1));
    CHECK_EQUAL(0U, network.notices(FlowEvent::Lost));
    network.advance(400ms);
    CHECK_EQUAL(1U, network.notices(FlowEvent::Lost));
}

TEST(Agent, NewAgentDoesNotDeclareFlowsLost)
{
    TestNetwork network(3);
    const TestView view(0s, readyAgents(3));
    sendThrough(network, view, requestPacket(testFlow(), 1));
    network.advance(2s);
    CHECK_EQUAL(0U, network.notices(FlowEvent::Lost));
}

TEST(Agent, DeadUpstreamLosesNoFlows)
{
    TestNetwork network(2);
    const TestView view(0s, readyAgents(2));
    const Address owner = openFlow(network, view, testFlow());
    for (int reading = 0; reading < 3; ++reading) {
        network.find(owner)->onUpstreamHealth(network.now, { .isReachable = false });
    }
    network.advance(500ms);
    CHECK_EQUAL(1U, network.owners(testFlow()).size());
    CHECK_TRUE(network.owners(testFlow()).front() != owner);
}

TEST(Agent, FailedHealthReadsAreIgnoredWhileAnswersArrive)
{
    TestNetwork network(2);
    const TestView view(0s, readyAgents(2));
    const Address owner = openFlow(network, view, testFlow());
    sendThrough(network, view, requestPacket(testFlow(), 1));
    network.collect([&](Actions& actions) {
        network.find(owner)->onUpstreamResult(network.now, { network.handOvers[0].id, UpstreamOutcome::Answered, {} }, actions);
    });
    for (int reading = 0; reading < 5; ++reading) {
        network.find(owner)->onUpstreamHealth(network.now, { .isReachable = false });
    }
    network.advance(500ms);
    CHECK_TRUE(network.owners(testFlow()) == std::vector<Address> { owner });
}

TEST(Agent, HopsAreBounded)
{
    TestNetwork network(2);
    ForwardedPacket forwarded {
        .packet = requestPacket(testFlow(), 1),
        .service = hashText("orders"),
        .candidates = { agentAddress(0), agentAddress(1) },
        .hops = maximumHops,
    };
    network.send(agentAddress(0), forwarded);
    network.deliverAll();
    CHECK_EQUAL(1U, network.agents[0]->counters().get(Counter::PacketsHopLimit));
}
