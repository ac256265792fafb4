/** @file packet_leave_test.cpp Agents that stop: which of them leave the membership, and what the other processes conclude from it. */
#include "packet_test.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

TEST_GROUP(PacketLeave) {};

namespace {

constexpr uint64_t upstreamStart = 500'000; ///< Start of the upstream in PacketScene's reports.

} // namespace

/**
 * Guards against an upstream that gets no new flow, and whose open flows its agent denies, since the deregistration of an earlier one
 * at its address came late: most deregistrations state no start time, but each names the upstream.
 */
TEST(PacketLeave, ADeregistrationOfAnotherUpstreamIsDropped)
{
    const auto isEnded = [](std::string_view id, std::optional<uint64_t> started) {
        PacketScene scene;
        scene.agent.onUpstreamDeregistered(scene.now, id, started);
        scene.receive(makePacket(caller(1), packetService, OpeningFlag));
        return scene.outcome() == OpeningResult::Refused;
    };
    CHECK(isEnded("u1", std::nullopt));
    CHECK(isEnded("u1", upstreamStart));
    CHECK(isEnded("u2", upstreamStart + 1)); // A later upstream whose reports were lost.
    CHECK_FALSE(isEnded("u0", std::nullopt));
    CHECK_FALSE(isEnded("u0", upstreamStart));
    CHECK_FALSE(isEnded("u0", upstreamStart - 1));
    CHECK_FALSE(isEnded("u1", upstreamStart - 1)); // An upstream may start again under its id.
}
