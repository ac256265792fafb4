/** @file agent_test.h Opening flows and delivering messages, for tests of agents. */
#pragma once

#include "test_network.h"

#include <CppUTest/TestHarness.h>

namespace lavender {

inline std::vector<MemberRecord> readyAgents(uint32_t count)
{
    std::vector<MemberRecord> records;
    for (uint32_t index = 0; index < count; ++index) {
        records.push_back(agentRecord(index));
    }
    return records;
}

/** Opens a flow through a balancer's view. @return The flow's owner. */
inline Address openFlow(TestNetwork& network, const TestView& view, const FlowKey& flow)
{
    const ForwardedPacket forwarded = view.route(network.now, openingPacket(flow));
    network.send(forwarded.candidates.front(), forwarded);
    network.deliverAll();
    const std::vector<Address> owners = network.owners(flow);
    CHECK_EQUAL(1U, owners.size());
    return owners.front();
}

inline void sendThrough(TestNetwork& network, const TestView& view, const FlowPacket& packet)
{
    const ForwardedPacket forwarded = view.route(network.now, packet);
    network.send(forwarded.candidates.front(), forwarded);
    network.deliverAll();
}

/** Delivers the messages of one kind and no others. */
template <typename Kind>
inline void deliverOnly(TestNetwork& network)
{
    for (size_t index = network.inFlight.size(); index > 0; --index) {
        if (std::holds_alternative<Kind>(network.inFlight[index - 1].message)) {
            network.deliver(index - 1);
        }
    }
}

inline FlowPacket closingPacket(const FlowKey& flow)
{
    return { .flow = flow, .mark = PacketMark::Closing, .payload = encodePayload(FlowNotice { .event = FlowEvent::Closed }) };
}

/** Lets the upstream answer the request that was handed over last; the caller acknowledges nothing. */
inline void answerLatest(TestNetwork& network, Address owner)
{
    network.collect([&](Actions& actions) {
        network.find(owner)->onUpstreamResult(network.now, { network.handOvers.back().id, UpstreamOutcome::Answered, { 'y' } }, actions);
    });
}

/** Latest notice that a flow was given up; an empty one if there is none. */
inline FlowNotice givenUpNotice(const TestNetwork& network)
{
    FlowNotice latest;
    for (const FlowPayload& payload : network.toCallers) {
        const auto* notice = std::get_if<FlowNotice>(&payload);
        latest = notice != nullptr && notice->event == FlowEvent::GivenUp ? *notice : latest;
    }
    return latest;
}

} // namespace lavender
