/** @file request_test.cpp Every request ends with a true verdict; nothing starts past the limit or the deadline. */
#include "agent/request_base.h"
#include "wire/codec_func.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

const FlowKey key { { 1, 2 }, { 3, 4 } };

/** A request system with one flow. */
struct Desk {
    FlowTable flows;
    SeededRandom random { 1 };
    Counters counters;
    RequestSystem system { "orders", flows, random, counters };
    Actions actions;
    TimePoint now { 1s };

    explicit Desk(uint16_t slots)
    {
        this->system.admission().configure(slots, 0s);
        this->system.admission().onStarted(0s, 1);
        this->system.admission().onCompleted(0s, 20ms);
        this->flows[key].key = key;
    }

    void part(uint64_t id, uint32_t remaining = 4000, std::string name = "", uint16_t number = 0, uint16_t count = 1)
    {
        this->system.onPart(this->now, this->flows[key], { .request = id, .part = number, .parts = count, .remaining = remaining, .key = std::move(name), .body = { static_cast<uint8_t>(number) } }, this->actions);
    }

    std::vector<HandOver> handOvers() const
    {
        std::vector<HandOver> result;
        for (const Action& action : this->actions) {
            if (const auto* handOver = std::get_if<HandOver>(&action)) {
                result.push_back(*handOver);
            }
        }
        return result;
    }

    /** Latest answer for a request. */
    std::optional<AnswerPart> answer(uint64_t id) const
    {
        std::optional<AnswerPart> latest;
        for (const Action& action : this->actions) {
            if (const auto* back = std::get_if<SendToCaller>(&action)) {
                const Exchange exchange = *decodeExchange(back->packet.payload);
                const auto* found = std::get_if<AnswerPart>(&exchange);
                if (found != nullptr && found->request == id) {
                    latest = *found;
                }
            }
        }
        return latest;
    }

    void finish(HandOverId id, UpstreamOutcome outcome) { this->system.onUpstreamResult(this->now, { id, outcome, {} }, this->actions); }
};

} // namespace

TEST_GROUP(Request) {};

TEST(Request, PartsInAnyOrderMakeOneRequest)
{
    Desk desk(1);
    desk.part(1, 4000, "", 2, 3);
    desk.part(1, 4000, "", 0, 3);
    CHECK_EQUAL(0U, desk.handOvers().size());
    desk.part(1, 4000, "", 1, 3);
    CHECK_EQUAL(1U, desk.handOvers().size());
    CHECK_TRUE(desk.handOvers()[0].body == Bytes({ 0, 1, 2 }));
}

TEST(Request, LimitHoldsAndTheQueueRunsByDeadline)
{
    Desk desk(2);
    desk.part(1);
    desk.part(2);
    desk.part(3, 4000);
    desk.part(4, 1000);
    CHECK_EQUAL(2U, desk.handOvers().size());
    desk.finish(desk.handOvers()[0].id, UpstreamOutcome::Answered);
    CHECK_EQUAL(3U, desk.handOvers().size());
    CHECK_TRUE(desk.handOvers()[2].remaining == Duration(1s));
}

TEST(Request, ExpiredInTheQueueIsNotRun)
{
    Desk desk(1);
    desk.part(1);
    desk.part(2, 500);
    desk.now += 600ms;
    desk.system.tick(desk.now, desk.actions);
    CHECK_TRUE(desk.answer(2)->verdict == Verdict::NotRun);
    CHECK_TRUE(desk.answer(2)->reason == VerdictReason::DeadlineExpired);
    CHECK_EQUAL(1U, desk.handOvers().size());
}

TEST(Request, ExpiredAtTheUpstreamMayHaveRunAndIsCancelled)
{
    Desk desk(1);
    desk.part(1, 500);
    desk.now += 600ms;
    desk.system.tick(desk.now, desk.actions);
    CHECK_TRUE(desk.answer(1)->verdict == Verdict::MayHaveRun);
    const bool isCancelled = std::any_of(desk.actions.begin(), desk.actions.end(), [](const Action& action) { return std::holds_alternative<CancelHandOver>(action); });
    CHECK_TRUE(isCancelled);
    CHECK_EQUAL(0, desk.system.inFlight());
}

TEST(Request, FullQueueRefusesAtOnceWithATimeToComeBack)
{
    Desk desk(1);
    for (uint64_t id = 1; id <= 10; ++id) {
        desk.part(id);
    }
    CHECK_TRUE(desk.answer(10)->verdict == Verdict::NotRun);
    CHECK_TRUE(desk.answer(10)->reason == VerdictReason::QueueFull);
    CHECK_TRUE(desk.answer(10)->retryAfter > 0);
}

TEST(Request, OnlyAnUnreachedUpstreamMakesNotRunOfAHandOver)
{
    const std::vector<std::pair<UpstreamOutcome, Verdict>> cases { { UpstreamOutcome::Unreachable, Verdict::NotRun }, { UpstreamOutcome::Failed, Verdict::MayHaveRun }, { UpstreamOutcome::Shed, Verdict::MayHaveRun }, { UpstreamOutcome::Answered, Verdict::Answered } };
    for (const auto& [outcome, verdict] : cases) {
        Desk desk(1);
        desk.part(1);
        desk.finish(desk.handOvers()[0].id, outcome);
        CHECK_TRUE(desk.answer(1)->verdict == verdict);
    }
}

TEST(Request, KeyThatMayHaveRunDoesNotRunAgain)
{
    Desk desk(2);
    desk.part(1, 4000, "order-1");
    desk.finish(desk.handOvers()[0].id, UpstreamOutcome::Failed);
    desk.part(2, 4000, "order-1");
    CHECK_EQUAL(1U, desk.handOvers().size());
    CHECK_TRUE(desk.answer(2)->verdict == Verdict::MayHaveRun);
}

TEST(Request, KeyThatWasNotRunMayRun)
{
    Desk desk(1);
    desk.part(1, 4000, "order-1");
    desk.finish(desk.handOvers()[0].id, UpstreamOutcome::Unreachable);
    desk.part(2, 4000, "order-1");
    CHECK_EQUAL(2U, desk.handOvers().size());
}

TEST(Request, LateAnswerOfAnEndedRequestIsDropped)
{
    Desk desk(1);
    desk.part(1, 500);
    desk.now += 600ms;
    desk.system.tick(desk.now, desk.actions);
    desk.part(2);
    desk.finish(desk.handOvers()[0].id, UpstreamOutcome::Answered);
    CHECK_EQUAL(1U, desk.counters.get(Counter::AnswersLate));
    CHECK_FALSE(desk.answer(2).has_value());
    CHECK_TRUE(desk.answer(1)->verdict == Verdict::MayHaveRun);
}

TEST(Request, LongAnswerIsSentInPartsAndMissingOnesAgain)
{
    Desk desk(1);
    desk.part(1);
    desk.system.onUpstreamResult(desk.now, { desk.handOvers()[0].id, UpstreamOutcome::Answered, Bytes(2 * maximumPartBytes + 1) }, desk.actions);
    CHECK_EQUAL(3, desk.answer(1)->parts);
    desk.actions.clear();
    desk.system.onAsk(desk.now, desk.flows[key], { .request = 1, .missing = { 1 } }, desk.actions);
    CHECK_EQUAL(1U, desk.actions.size());
    CHECK_EQUAL(1, desk.answer(1)->part);
}

TEST(Request, FinishedIdsLeaveNoGap)
{
    FinishedRequests finished;
    finished.add(2);
    CHECK_FALSE(finished.contains(1));
    CHECK_TRUE(finished.contains(2));
    finished.add(1);
    CHECK_EQUAL(2U, finished.through);
    finished.add(5);
    finished.collapse();
    CHECK_TRUE(finished.contains(4));
}
