/** @file commit_test.cpp Tests commits of rule commands: races, lost answers of the write, outages of the store. */
#include "config/rule_func.h"
#include "replay/fake_store.h"
#include "store/commit.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

constexpr std::string_view rules = "service orders at 10.0.0.1:80 # ann\nannounce orders in a # ann\n";

/** A store in virtual time; several commits may run at once. */
struct CommitFixture {
    EventQueue queue;
    FakeStore store { queue };

    /** Runs a commit to its end, at most a minute. */
    CommitResult run(const RuleCommand& command, const std::string& change, bool isDryRun = false)
    {
        CommitResult result;
        this->start(command, change, result, isDryRun);
        this->queue.runUntil(this->queue.now() + 60s);
        return result;
    }

    /** Starts a commit that sets @p result when it ends. */
    void start(const RuleCommand& command, const std::string& change, CommitResult& result, bool isDryRun = false)
    {
        const Delay delay = [this](Duration span, std::function<void()> then) { this->queue.scheduleIn(span, std::move(then)); };
        commitCommand(this->store, command, change, isDryRun, delay, [&result](const CommitResult& ended) { result = ended; });
    }

    RulesEnvelope storedEnvelope()
    {
        RulesEnvelope envelope;
        this->store.read(rulesKey, [&envelope](const absl::StatusOr<std::optional<StoreValue>>& value) { envelope = *parseEnvelope((*value)->value); });
        this->queue.runUntil(this->queue.now() + 1s);
        return envelope;
    }
};

RuleCommand makeReplaceCommand(std::string_view text = rules) { return { .kind = RuleCommandKind::Replace, .text = std::string(text), .who = "ann" }; }
RuleCommand makeZoneCommand(bool isOut, std::string_view who = "ann") { return { .kind = isOut ? RuleCommandKind::ZoneOut : RuleCommandKind::ZoneIn, .zone = "a", .who = std::string(who) }; }

} // namespace

TEST_GROUP(Commit) {};

TEST(Commit, CommitsAndSeesNoChange)
{
    CommitFixture fixture;
    CHECK_TRUE(fixture.run(makeReplaceCommand(), "c1").outcome == CommitOutcome::Committed);
    CHECK_TRUE(fixture.run(makeReplaceCommand(), "c2").outcome == CommitOutcome::Unchanged);
    STRCMP_EQUAL("c1", fixture.storedEnvelope().change.c_str());
}

TEST(Commit, DryRunWritesNothing)
{
    CommitFixture fixture;
    fixture.run(makeReplaceCommand(), "c1");
    const uint64_t writes = fixture.store.writes;
    CHECK_TRUE(fixture.run(makeZoneCommand(true), "c2", true).outcome == CommitOutcome::Committed);
    CHECK_EQUAL(writes, fixture.store.writes);
}

TEST(Commit, LostAnswerIsFoundAgain)
{
    CommitFixture fixture;
    fixture.run(makeReplaceCommand(), "c1");
    fixture.store.answersToLose = 1;
    CHECK_TRUE(fixture.run(makeZoneCommand(true), "c2").outcome == CommitOutcome::Committed);
    STRCMP_EQUAL("c2", fixture.storedEnvelope().change.c_str());
}

TEST(Commit, LostAnswerIsFoundBelowALaterChange)
{
    CommitFixture fixture;
    fixture.run(makeReplaceCommand(), "c1");
    fixture.store.answersToLose = 1;
    CommitResult first;
    fixture.start(makeZoneCommand(true), "c2", first);
    fixture.queue.runUntil(fixture.queue.now() + 1s);
    CHECK_TRUE(fixture.run(makeZoneCommand(false, "bo"), "c3").outcome == CommitOutcome::Committed);
    CHECK_TRUE(first.outcome == CommitOutcome::Committed);
}

TEST(Commit, RaceHasOneWinnerAndNamesIt)
{
    CommitFixture fixture;
    fixture.run(makeReplaceCommand(), "c1");
    CommitResult ann;
    CommitResult bo;
    fixture.start(makeZoneCommand(true, "ann"), "c2", ann);
    fixture.start(makeReplaceCommand(std::string(rules) + "# more\n"), "c3", bo);
    fixture.queue.runUntil(fixture.queue.now() + 60s);
    CHECK_TRUE(ann.outcome == CommitOutcome::Committed);
    CHECK_TRUE(bo.outcome == CommitOutcome::Raced);
    CHECK_TRUE(bo.detail.find("c2") != std::string::npos && bo.detail.find("ann") != std::string::npos);
}

TEST(Commit, StoreDownBeforeTheWriteIsUnavailable)
{
    CommitFixture fixture;
    fixture.store.setDown(true);
    CHECK_TRUE(fixture.run(makeReplaceCommand(), "c1").outcome == CommitOutcome::Unavailable);
}

TEST(Commit, StoreDownAfterTheWriteIsUnknown)
{
    CommitFixture fixture;
    fixture.run(makeReplaceCommand(), "c1");
    CommitResult result;
    fixture.start(makeZoneCommand(true), "c2", result);
    fixture.store.answersToLose = 1;
    fixture.queue.runUntil(fixture.queue.now() + 6ms);
    fixture.store.setDown(true);
    fixture.queue.runUntil(fixture.queue.now() + 120s);
    CHECK_TRUE(result.outcome == CommitOutcome::Unknown);
}

TEST(Commit, RefusesAZoneThatNoRuleNames)
{
    CommitFixture fixture;
    fixture.run(makeReplaceCommand(), "c1");
    RuleCommand command = makeZoneCommand(true);
    command.zone = "z";
    CHECK_TRUE(fixture.run(command, "c2").outcome == CommitOutcome::Refused);
}

TEST(Commit, WarnsOfTheLastZone)
{
    CommitFixture fixture;
    fixture.run(makeReplaceCommand(), "c1");
    CHECK_EQUAL(1U, fixture.run(makeZoneCommand(true), "c2").warnings.size());
}
