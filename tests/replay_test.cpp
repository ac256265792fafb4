/** @file replay_test.cpp Replays meet the expectations of all traces and are deterministic. */
#include "core/text_func.h"
#include "replay/figure_func.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

Trace loadTrace(const std::filesystem::path& path)
{
    std::ifstream file(path);
    const std::string text { std::istreambuf_iterator<char>(file), {} };
    const absl::StatusOr<Trace> trace = parseTrace(text);
    CHECK_TRUE(trace.ok());
    return *trace;
}

Figures replay(const Trace& trace, uint64_t seed, const ReplayPolicy& policy = {})
{
    World world(trace, policy, seed);
    world.run();
    return collectFigures(world);
}

/** Replays a trace and prints each stated outcome that does not hold. @return True if all hold. */
bool holdsOutcomes(const Trace& trace, const std::filesystem::path& name, uint64_t seed)
{
    World world(trace, {}, seed);
    world.run();
    const std::vector<FailedExpectation> failed = checkExpectations(trace, collectFigures(world), world);
    for (const FailedExpectation& outcome : failed) {
        std::cerr << name << ", seed " << seed << ": " << outcome.expectation.figure << " is " << outcome.value << "\n";
    }
    return failed.empty();
}

std::set<std::filesystem::path> tracePaths()
{
    std::set<std::filesystem::path> paths;
    for (const auto& entry : std::filesystem::directory_iterator(LAVENDER_TRACES)) {
        paths.insert(entry.path());
    }
    return paths;
}

} // namespace

TEST_GROUP(Replay) {};

TEST(Replay, EveryTraceHoldsItsOutcomes)
{
    // With a wrong or empty directory the loop would pass without any replay.
    CHECK_TRUE(tracePaths().size() >= 6);
    for (const auto& path : tracePaths()) {
        const Trace trace = loadTrace(path);
        for (uint64_t seed = 1; seed <= 3; ++seed) {
            CHECK_TRUE(holdsOutcomes(trace, path.filename(), seed));
        }
    }
}

// Guards against false "not run" verdicts, requests run twice for them, and closed flows declared lost, when a zone goes out while answers are lost.
TEST(Replay, AZoneOutWhileAnswersAreLostHoldsItsOutcomes)
{
    const Trace trace = loadTrace(std::filesystem::path(LAVENDER_TRACES) / "krojac-zone-lossy.jsonl");
    for (const uint64_t seed : { 4, 13, 17, 20, 26, 27, 45, 50, 89 }) {
        CHECK_TRUE(holdsOutcomes(trace, "krojac-zone-lossy.jsonl", seed));
    }
}

// Guards against flows with two owners or none, and false "not run" verdicts, when agents of a zone drain while it goes out.
TEST(Replay, AZoneOutWhileItsAgentsDrainHoldsItsOutcomes)
{
    const Trace trace = loadTrace(std::filesystem::path(LAVENDER_TRACES) / "krojac-zone-draining.jsonl");
    for (const uint64_t seed : { 1, 13, 25, 63, 76, 88 }) {
        CHECK_TRUE(holdsOutcomes(trace, "krojac-zone-draining.jsonl", seed));
    }
}

TEST(Replay, SameSeedGivesTheSameFigures)
{
    const Trace trace = loadTrace(std::filesystem::path(LAVENDER_TRACES) / "wrekin-balancers.jsonl");
    CHECK_TRUE(replay(trace, 5) == replay(trace, 5));
    CHECK_FALSE(replay(trace, 5) == replay(trace, 6));
}

TEST(Replay, OnlyTheProductPolicyKeepsFlowsWhenUpstreamsChange)
{
    // Guards against traces that cannot tell the policies apart: without chaining, flows must break once upstreams change.
    const ReplayPolicy naive { "naive", false };
    const ReplayPolicy hash { "hash", false };
    const Trace steady = loadTrace(std::filesystem::path(LAVENDER_TRACES) / "wrekin-steady.jsonl");
    const Trace changing = loadTrace(std::filesystem::path(LAVENDER_TRACES) / "wrekin-upstreams.jsonl");
    for (const ReplayPolicy& policy : { naive, hash }) {
        CHECK_EQUAL(0.0, replay(steady, 1, policy)["broken_flows"]);
        CHECK_TRUE(replay(changing, 1, policy)["broken_flows"] > 0);
    }
    CHECK_EQUAL(0.0, replay(changing, 1)["broken_flows"]);
}
