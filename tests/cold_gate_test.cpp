/** @file cold_gate_test.cpp Openings at a cold upstream, over any sliding second. */
#include "core/random_base.h"
#include "packet/cold_gate.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lavender;

TEST_GROUP(ColdGate) {};

TEST(ColdGate, NoSlidingSecondHasMoreThanTheRate)
{
    ColdGate gate;
    gate.setRate(10);
    gate.onReport(0s, 5s);
    std::vector<TimePoint> opened;
    for (TimePoint now = 0s; now < 5s; now += 7ms) {
        if (gate.mayOpen(now)) {
            gate.noteOpening(now);
            opened.push_back(now);
        }
    }
    for (size_t first = 0; first + 10 < opened.size(); ++first) {
        CHECK(opened[first + 10] - opened[first] > 1s);
    }
    CHECK(opened.size() >= 40);
}

TEST(ColdGate, CountsAsColdUntilAReportThatIsNewerThanTheDoubt)
{
    ColdGate gate;
    gate.setRate(10);
    gate.onReport(10s, 0s);
    CHECK_FALSE(gate.isCold(10s));
    gate.distrust(11s);
    CHECK(gate.isCold(11s));
    gate.onReport(11s + 50ms, 0s); // May have been on its way.
    CHECK(gate.isCold(11s + 50ms));
    gate.onReport(12s, 0s);
    CHECK_FALSE(gate.isCold(12s));
}

TEST(ColdGate, ARestartedAgentWaitsOutTheSecondThatItDoesNotKnow)
{
    ColdGate gate;
    gate.setRate(10);
    gate.assumeUsedUp(1s);
    CHECK_FALSE(gate.mayOpen(2s));
    CHECK(gate.mayOpen(2s + 100ms));
}
