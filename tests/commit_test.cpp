/** @file commit_test.cpp A change is committed once, told apart from a race, and found again when its answer was lost. */
#include "config/rule_func.h"
#include "replay/fake_store.h"
#include "store/commit.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

constexpr std::string_view rules = "service orders at 10.0.0.1:80 # ann\nannounce orders in a # ann\n";

/** A store with an operator or two. */
struct Desk {
    EventQueue queue;
    FakeStore store { queue };

    CommitResult run(const RuleCommand& command, const std::string& change, bool isDryRun = false)
    {
        CommitResult result;
        this->start(command, change, result, isDryRun);
        this->queue.runUntil(this->queue.now() + 60s);
        return result;
    }

    void start(const RuleCommand& command, const std::string& change, CommitResult& result, bool isDryRun = false)
    {
        const Delay delay = [this](Duration span, std::function<void()> then) { this->queue.scheduleIn(span, std::move(then)); };
        commitCommand(this->store, command, change, isDryRun, delay, [&result](const CommitResult& ended) { result = ended; });
    }

    RulesEnvelope stored()
    {
        RulesEnvelope envelope;
        this->store.read(rulesKey, [&envelope](const absl::StatusOr<std::optional<StoreValue>>& value) { envelope = *parseEnvelope((*value)->value); });
        this->queue.runUntil(this->queue.now() + 1s);
        return envelope;
    }
};

RuleCommand replaceCommand(std::string_view text = rules) { return { .kind = RuleCommandKind::Replace, .text = std::string(text), .who = "ann" }; }
RuleCommand zoneCommand(bool isOut, std::string_view who = "ann") { return { .kind = isOut ? RuleCommandKind::ZoneOut : RuleCommandKind::ZoneIn, .zone = "a", .who = std::string(who) }; }

} // namespace

TEST_GROUP(Commit) {};

TEST(Commit, CommitsAndSeesNoChange)
{
    Desk desk;
    CHECK_TRUE(desk.run(replaceCommand(), "c1").outcome == CommitOutcome::Committed);
    CHECK_TRUE(desk.run(replaceCommand(), "c2").outcome == CommitOutcome::Unchanged);
    STRCMP_EQUAL("c1", desk.stored().change.c_str());
}

TEST(Commit, DryRunWritesNothing)
{
    Desk desk;
    desk.run(replaceCommand(), "c1");
    const uint64_t writes = desk.store.writes;
    CHECK_TRUE(desk.run(zoneCommand(true), "c2", true).outcome == CommitOutcome::Committed);
    CHECK_EQUAL(writes, desk.store.writes);
}

TEST(Commit, LostAnswerIsFoundAgain)
{
    Desk desk;
    desk.run(replaceCommand(), "c1");
    desk.store.answersToLose = 1;
    CHECK_TRUE(desk.run(zoneCommand(true), "c2").outcome == CommitOutcome::Committed);
    STRCMP_EQUAL("c2", desk.stored().change.c_str());
}

TEST(Commit, LostAnswerIsFoundBelowALaterChange)
{
    Desk desk;
    desk.run(replaceCommand(), "c1");
    desk.store.answersToLose = 1;
    CommitResult first;
    desk.start(zoneCommand(true), "c2", first);
    desk.queue.runUntil(desk.queue.now() + 1s);
    CHECK_TRUE(desk.run(zoneCommand(false, "bo"), "c3").outcome == CommitOutcome::Committed);
    CHECK_TRUE(first.outcome == CommitOutcome::Committed);
}

TEST(Commit, RaceHasOneWinnerAndNamesIt)
{
    Desk desk;
    desk.run(replaceCommand(), "c1");
    CommitResult ann;
    CommitResult bo;
    desk.start(zoneCommand(true, "ann"), "c2", ann);
    desk.start(replaceCommand(std::string(rules) + "# more\n"), "c3", bo);
    desk.queue.runUntil(desk.queue.now() + 60s);
    CHECK_TRUE(ann.outcome == CommitOutcome::Committed);
    CHECK_TRUE(bo.outcome == CommitOutcome::Raced);
    CHECK_TRUE(bo.detail.find("c2") != std::string::npos && bo.detail.find("ann") != std::string::npos);
}

TEST(Commit, StoreDownBeforeTheWriteIsUnavailable)
{
    Desk desk;
    desk.store.setDown(true);
    CHECK_TRUE(desk.run(replaceCommand(), "c1").outcome == CommitOutcome::Unavailable);
}

TEST(Commit, StoreDownAfterTheWriteIsUnknown)
{
    Desk desk;
    desk.run(replaceCommand(), "c1");
    CommitResult result;
    desk.start(zoneCommand(true), "c2", result);
    desk.store.answersToLose = 1;
    desk.queue.runUntil(desk.queue.now() + 6ms);
    desk.store.setDown(true);
    desk.queue.runUntil(desk.queue.now() + 120s);
    CHECK_TRUE(result.outcome == CommitOutcome::Unknown);
}

TEST(Commit, RefusesAZoneThatNoRuleNames)
{
    Desk desk;
    desk.run(replaceCommand(), "c1");
    RuleCommand command = zoneCommand(true);
    command.zone = "z";
    CHECK_TRUE(desk.run(command, "c2").outcome == CommitOutcome::Refused);
}

TEST(Commit, WarnsOfTheLastZone)
{
    Desk desk;
    desk.run(replaceCommand(), "c1");
    CHECK_EQUAL(1U, desk.run(zoneCommand(true), "c2").warnings.size());
}
