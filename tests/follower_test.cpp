/** @file follower_test.cpp Revisions only rise, and the store is asked within its rates. */
#include "config/follower_base.h"
#include "replay/fake_store.h"
#include "store/follower.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

constexpr std::string_view rules = "service orders at 10.0.0.1:80 # ann\n";

/** Counts what a follower reports. */
struct Listener final : StoreFollower::Listener {
    void onRules(Revision revision, Revision /*readAt*/, std::string_view /*text*/) override { this->latest = std::max(this->latest, revision); }
    void onStoreState(bool isUp) override { isUp ? ++this->ups : ++this->downs; }
    void onLeaseLapsed() override { ++this->lapses; }
    bool isWatcher() const override { return this->isWatching; }
    bool hasRules() const override { return this->latest > 0; }
    size_t balancerCount() const override { return this->balancers; }

    Revision latest = 0;
    int ups = 0;
    int downs = 0;
    int lapses = 0;
    bool isWatching = false;
    size_t balancers = 1;
};

/** A follower that ticks 20 times a second. */
struct Desk {
    EventQueue queue;
    FakeStore store { queue };
    SeededRandom random { 1 };
    Listener listener;
    StoreFollower follower { store, queue, random, { { 0x7f000001, 1 }, "a", 60s, 30s }, listener };

    void advance(Duration span)
    {
        for (const TimePoint end = this->queue.now() + span; this->queue.now() < end;) {
            this->queue.runUntil(this->queue.now() + 50ms);
            this->follower.tick();
        }
    }

    void write(std::string_view change)
    {
        Revision before = 0;
        this->store.read(rulesKey, [&before](const absl::StatusOr<std::optional<StoreValue>>& value) { before = value->has_value() ? (*value)->revision : 0; });
        this->queue.runUntil(this->queue.now() + 10ms);
        this->store.compareAndSwap(rulesKey, before, formatEnvelope({ std::string(change), "ann", std::string(rules), {} }), [](const absl::StatusOr<SwapResult>&) {});
        this->queue.runUntil(this->queue.now() + 10ms);
    }
};

} // namespace

TEST_GROUP(Follower) {};

TEST(Follower, RevisionOnlyRises)
{
    ConfigurationFollower follower;
    CHECK_TRUE(follower.offer(1s, 5, rules).ok());
    CHECK_TRUE(absl::IsAlreadyExists(follower.offer(2s, 5, rules)));
    CHECK_TRUE(absl::IsAlreadyExists(follower.offer(3s, 4, rules)));
    CHECK_EQUAL(5U, follower.revision());
    CHECK_TRUE(follower.inForceSince() == TimePoint(1s));
}

TEST(Follower, RulesThatDoNotParseStayOut)
{
    ConfigurationFollower follower;
    CHECK_TRUE(follower.offer(1s, 5, rules).ok());
    CHECK_TRUE(absl::IsInvalidArgument(follower.offer(2s, 6, "nonsense")));
    CHECK_EQUAL(5U, follower.revision());
}

TEST(Follower, PatchThatDoesNotFitChangesNothing)
{
    ConfigurationFollower source;
    CHECK_TRUE(source.offer(1s, 5, rules).ok());
    CHECK_TRUE(source.offer(2s, 6, std::string(rules) + "# more\n").ok());
    ConfigurationFollower target;
    CHECK_TRUE(target.offer(1s, 4, rules).ok());
    CHECK_TRUE(absl::IsDataLoss(target.offer(2s, 6, source.patchFrom(5))));
    CHECK_EQUAL(4U, target.revision());
    CHECK_EQUAL(0U, source.patchFrom(4).base); // Too old: the whole.
    CHECK_TRUE(target.offer(3s, 6, source.patchFrom(4)).ok());
    CHECK_TRUE(target.current().text == source.current().text);
}

TEST(Follower, WatcherHearsOfAChangeWithinMilliseconds)
{
    Desk desk;
    desk.listener.isWatching = true;
    desk.write("c1");
    desk.advance(2s);
    const Revision before = desk.listener.latest;
    desk.write("c2");
    desk.queue.runUntil(desk.queue.now() + 10ms);
    CHECK_TRUE(desk.listener.latest > before);
}

TEST(Follower, WatchComesBackAfterAnOutage)
{
    Desk desk;
    desk.listener.isWatching = true;
    desk.write("c1");
    desk.advance(2s);
    desk.store.setDown(true);
    desk.advance(60s);
    desk.store.setDown(false);
    desk.advance(60s);
    CHECK_EQUAL(1, desk.listener.downs);
    CHECK_EQUAL(1, desk.listener.ups);
    const Revision before = desk.listener.latest;
    desk.write("c2");
    desk.queue.runUntil(desk.queue.now() + 10ms);
    CHECK_TRUE(desk.listener.latest > before);
}

TEST(Follower, LapsedLeaseIsTakenAnew)
{
    Desk desk;
    desk.advance(5s);
    desk.queue.runUntil(desk.queue.now() + 90s); // The process stands still.
    desk.advance(5s);
    CHECK_EQUAL(1, desk.listener.lapses);
    size_t listed = 0;
    desk.store.list(balancersPrefix, [&listed](const absl::StatusOr<std::vector<StoreValue>>& values) { listed = values->size(); });
    desk.advance(1s);
    CHECK_EQUAL(1U, listed);
}

TEST(Follower, SteadyCallsStayWithinTheBudget)
{
    Desk desk;
    desk.write("c1");
    desk.advance(60s);
    const uint64_t reads = desk.store.reads;
    const uint64_t writes = desk.store.writes;
    desk.advance(600s);
    // 1,800 balancers share 1,000 reads and 200 writes a second: 333 reads and 66 writes each in 600 s.
    CHECK_TRUE(desk.store.reads - reads <= 333);
    CHECK_TRUE(desk.store.writes - writes <= 66);
}

/** Pattern: a common restart just before a silent store returns. The first call is lost; nobody is served until one is answered. */
TEST(Follower, WithoutRulesALostCallIsRepeatedSoon)
{
    Desk desk;
    desk.write(rules);
    desk.store.setDown(true);
    desk.advance(100ms);
    desk.store.setDown(false);
    desk.advance(200ms);
    CHECK(desk.listener.latest > 0);
    const uint64_t reads = desk.store.reads;
    desk.advance(10s);
    CHECK(desk.store.reads - reads <= 2); // With rules there is no hurry.
}

TEST(Follower, WithoutRulesALongOutageCostsFewCalls)
{
    Desk desk;
    desk.store.setDown(true);
    desk.advance(10s);
    CHECK(desk.store.reads <= 20);
}

TEST(Follower, ReturnOfTheStoreIsNotAStampede)
{
    Desk desk;
    desk.advance(5s);
    desk.store.setDown(true);
    desk.advance(300s);
    const uint64_t calls = desk.store.reads + desk.store.writes;
    desk.store.setDown(false);
    desk.advance(60s);
    // 1,800 balancers may make 1,200 calls a second, so each 40 in the first minute.
    CHECK_TRUE(desk.store.reads + desk.store.writes - calls <= 40);
}

TEST(Follower, ALargeFleetBacksOffFurther)
{
    SeededRandom random(1);
    Duration small {};
    Duration large {};
    for (int draw = 0; draw < 1000; ++draw) {
        small = std::max(small, storeBackoff(random, 10));
        large += storeBackoff(random, 10, 1800) / 1000;
    }
    CHECK(small <= 1750ms); // Heard again within two seconds.
    CHECK(large >= 3600ms); // 1,800 balancers, two calls each: under 1,000 calls a second.
}

/** A fleet shares its reads: each balancer reads as much less often as there are others. */
TEST(Follower, ReadsAreSharedByTheFleet)
{
    const auto readsOf = [](size_t balancers) {
        EventQueue queue;
        FakeStore store { queue };
        SeededRandom random { 1 };
        Listener listener;
        listener.balancers = balancers;
        listener.latest = 1; // It has rules.
        StoreFollower follower { store, queue, random, { { 0x7f000001, 1 }, "a", 3600s, 300s, 500ms }, listener };
        const uint64_t before = store.reads;
        for (int tick = 0; tick < 1200; ++tick) {
            queue.runUntil(queue.now() + 50ms);
            follower.tick();
        }
        return store.reads - before;
    };
    const uint64_t alone = readsOf(1);
    const uint64_t ofSix = readsOf(6);
    CHECK(alone >= 90 && alone <= 150); // One each half second for a minute.
    CHECK(ofSix >= 14 && ofSix <= 30);
}
