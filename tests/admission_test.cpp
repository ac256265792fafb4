/** @file admission_test.cpp The slow-start limit grows no faster than the upstream warms up, and shrinks on load shedding. */
#include "agent/admission_base.h"
#include "replay/upstream_model.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;

TEST_GROUP(Admission) {};

TEST(Admission, ColdUpstreamGetsOneRequest)
{
    AdmissionLimiter limiter;
    limiter.configure(8, 4s);
    CHECK_EQUAL(1, limiter.limit());
}

TEST(Admission, IdleTimeDoesNotRaiseTheLimit)
{
    AdmissionLimiter limiter;
    limiter.configure(8, 4s);
    limiter.onStarted(100s, 1);
    limiter.onCompleted(100s + 20ms, 20ms);
    limiter.onStarted(200s, 1);
    limiter.onCompleted(200s + 20ms, 20ms);
    CHECK_EQUAL(1, limiter.limit());
}

TEST(Admission, FollowsAColdUpstreamWithoutOverrunningIt)
{
    constexpr uint16_t slots = 8;
    AdmissionLimiter limiter;
    limiter.configure(slots, 2s);
    UpstreamModel upstream(slots, 2s, true);
    std::multimap<TimePoint, int> running;
    TimePoint warmAt {};
    for (TimePoint now { 1s }; now < 10s; now += 1ms) {
        while (!running.empty() && running.begin()->first <= now) {
            running.erase(running.begin());
            upstream.finish(now);
            limiter.onCompleted(now, 20ms);
        }
        while (running.size() < limiter.limit()) {
            CHECK_TRUE(upstream.begin(now, "k", 1));
            running.emplace(now + 20ms, 0);
            limiter.onStarted(now, static_cast<uint16_t>(running.size()));
        }
        if (limiter.isWarm() && warmAt == TimePoint {}) {
            warmAt = now;
        }
    }
    CHECK_EQUAL(0U, upstream.overloads);
    // The upstream itself warms up in 2 s; 1.5 times that is allowed.
    CHECK_TRUE(warmAt > TimePoint {} && warmAt - 1s <= 3s);
}

TEST(Admission, RoundTripIsNotCountedAsBusyTime)
{
    // Guards against a limit that grows faster than the upstream warms up. On a busy instance the answers took longer than
    // the upstream's work, and the difference was counted as busy time.
    AdmissionLimiter limiter;
    limiter.configure(8, 2s);
    UpstreamModel upstream(8, 2s, true);
    for (TimePoint now { 1s }; now < 8s; now += 60ms) {
        for (uint16_t begun = 1; begun <= limiter.limit(); ++begun) {
            CHECK_TRUE(upstream.begin(now + 20ms, "k", 1));
            limiter.onStarted(now, begun);
        }
        for (uint16_t ended = limiter.limit(); ended > 0; --ended) {
            upstream.finish(now + 40ms);
            limiter.onCompleted(now + 59ms, now < 1100ms ? 21ms : 59ms);
        }
    }
    CHECK_EQUAL(0U, upstream.overloads);
    CHECK_TRUE(limiter.limit() > 4);
}

TEST(Admission, ShedsInQuickSuccessionHalveTheLimitOnce)
{
    AdmissionLimiter limiter;
    limiter.configure(8, 0s);
    limiter.onStarted(1s, 1);
    limiter.onCompleted(1s, 20ms);
    CHECK_EQUAL(8, limiter.limit());
    limiter.onShed(2s);
    limiter.onShed(2s + 1ms);
    CHECK_EQUAL(4, limiter.limit());
    limiter.onColdStart();
    CHECK_EQUAL(1, limiter.limit());
}

TEST(Admission, NeverAboveTheSlots)
{
    AdmissionLimiter limiter;
    limiter.configure(8, 0s);
    limiter.onStarted(1s, 1);
    limiter.onCompleted(1s, 20ms);
    limiter.configure(3, 0s);
    CHECK_EQUAL(3, limiter.limit());
    CHECK_TRUE(limiter.isWarm());
}
