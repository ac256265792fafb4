/** @file request_test.cpp Every request ends with the right verdict; none is handed over above the limit or past its deadline. */
#include "agent/request_base.h"
#include "wire/codec_func.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

const FlowKey key { { 1, 2 }, { 3, 4 } };

/** A request system with one flow and a limit of all slots. */
struct RequestFixture {
    FlowTable flows;
    SeededRandom random { 1 };
    Counters counters;
    RequestSystem system { "orders", flows, random, counters };
    Actions actions;
    TimePoint now { 1s };

    explicit RequestFixture(uint16_t slots)
    {
        this->system.admission().configure(slots, 0s);
        this->system.admission().onStarted(0s, 1);
        this->system.admission().onCompleted(0s, 20ms);
        this->flows[key].key = key;
    }

    void part(uint64_t id, uint32_t remaining = 4000, std::string name = "", uint16_t number = 0, uint16_t count = 1)
    {
        const RequestPart message {
            .requestId = id,
            .partIndex = number,
            .partCount = count,
            .remainingMs = remaining,
            .key = std::move(name),
            .body = { static_cast<uint8_t>(number) },
        };
        this->system.onPart(this->now, this->flows[key], message, this->actions);
    }

    std::vector<StartUpstreamRequest> handOvers() const
    {
        std::vector<StartUpstreamRequest> result;
        for (const Action& action : this->actions) {
            if (const auto* handOver = std::get_if<StartUpstreamRequest>(&action)) {
                result.push_back(*handOver);
            }
        }
        return result;
    }

    /** Latest answer part sent for a request; none if there is none. */
    std::optional<AnswerPart> answer(uint64_t id) const
    {
        std::optional<AnswerPart> latest;
        for (const Action& action : this->actions) {
            if (const auto* back = std::get_if<SendToCaller>(&action)) {
                const FlowPayload payload = *decodePayload(back->packet.payload);
                const auto* found = std::get_if<AnswerPart>(&payload);
                if (found != nullptr && found->requestId == id) {
                    latest = *found;
                }
            }
        }
        return latest;
    }

    void finish(UpstreamRequestId id, UpstreamOutcome outcome) { this->system.onUpstreamResult(this->now, { id, outcome, {} }, this->actions); }
};

} // namespace

TEST_GROUP(Request) {};

TEST(Request, PartsInAnyOrderMakeOneRequest)
{
    RequestFixture fixture(1);
    fixture.part(1, 4000, "", 2, 3);
    fixture.part(1, 4000, "", 0, 3);
    CHECK_EQUAL(0U, fixture.handOvers().size());
    fixture.part(1, 4000, "", 1, 3);
    CHECK_EQUAL(1U, fixture.handOvers().size());
    CHECK_TRUE(fixture.handOvers()[0].body == Bytes({ 0, 1, 2 }));
}

TEST(Request, LimitHoldsAndTheQueueRunsByDeadline)
{
    RequestFixture fixture(2);
    fixture.part(1);
    fixture.part(2);
    fixture.part(3, 4000);
    fixture.part(4, 1000);
    CHECK_EQUAL(2U, fixture.handOvers().size());
    fixture.finish(fixture.handOvers()[0].id, UpstreamOutcome::Answered);
    CHECK_EQUAL(3U, fixture.handOvers().size());
    CHECK_TRUE(fixture.handOvers()[2].remaining == Duration(1s));
}

TEST(Request, ExpiredInTheQueueIsNotRun)
{
    RequestFixture fixture(1);
    fixture.part(1);
    fixture.part(2, 500);
    fixture.now += 600ms;
    fixture.system.tick(fixture.now, fixture.actions);
    CHECK_TRUE(fixture.answer(2)->verdict == Verdict::NotRun);
    CHECK_TRUE(fixture.answer(2)->reason == VerdictReason::DeadlineExpired);
    CHECK_EQUAL(1U, fixture.handOvers().size());
}

TEST(Request, ExpiredAtTheUpstreamMayHaveRunAndIsCancelled)
{
    RequestFixture fixture(1);
    fixture.part(1, 500);
    fixture.now += 600ms;
    fixture.system.tick(fixture.now, fixture.actions);
    CHECK_TRUE(fixture.answer(1)->verdict == Verdict::MayHaveRun);
    const bool isCancelled = std::any_of(fixture.actions.begin(), fixture.actions.end(), [](const Action& action) {
        return std::holds_alternative<CancelUpstreamRequest>(action);
    });
    CHECK_TRUE(isCancelled);
    CHECK_EQUAL(0, fixture.system.inFlight());
}

TEST(Request, FullQueueRefusesAtOnceWithARetryTime)
{
    RequestFixture fixture(1);
    for (uint64_t id = 1; id <= 10; ++id) {
        fixture.part(id);
    }
    CHECK_TRUE(fixture.answer(10)->verdict == Verdict::NotRun);
    CHECK_TRUE(fixture.answer(10)->reason == VerdictReason::QueueFull);
    CHECK_TRUE(fixture.answer(10)->retryAfterMs > 0);
}

TEST(Request, AnUpstreamRequestEndsAsNotRunOnlyWhereTheUpstreamWasUnreachable)
{
    const std::vector<std::pair<UpstreamOutcome, Verdict>> cases {
        { UpstreamOutcome::Unreachable, Verdict::NotRun },
        { UpstreamOutcome::Failed, Verdict::MayHaveRun },
        { UpstreamOutcome::Shed, Verdict::MayHaveRun },
        { UpstreamOutcome::Answered, Verdict::Answered },
    };
    for (const auto& [outcome, verdict] : cases) {
        RequestFixture fixture(1);
        fixture.part(1);
        fixture.finish(fixture.handOvers()[0].id, outcome);
        CHECK_TRUE(fixture.answer(1)->verdict == verdict);
    }
}

TEST(Request, KeyThatMayHaveRunDoesNotRunAgain)
{
    RequestFixture fixture(2);
    fixture.part(1, 4000, "order-1");
    fixture.finish(fixture.handOvers()[0].id, UpstreamOutcome::Failed);
    fixture.part(2, 4000, "order-1");
    CHECK_EQUAL(1U, fixture.handOvers().size());
    CHECK_TRUE(fixture.answer(2)->verdict == Verdict::MayHaveRun);
}

TEST(Request, KeyThatWasNotRunMayRun)
{
    RequestFixture fixture(1);
    fixture.part(1, 4000, "order-1");
    fixture.finish(fixture.handOvers()[0].id, UpstreamOutcome::Unreachable);
    fixture.part(2, 4000, "order-1");
    CHECK_EQUAL(2U, fixture.handOvers().size());
}

TEST(Request, LateAnswerOfAnEndedRequestIsDropped)
{
    RequestFixture fixture(1);
    fixture.part(1, 500);
    fixture.now += 600ms;
    fixture.system.tick(fixture.now, fixture.actions);
    fixture.part(2);
    fixture.finish(fixture.handOvers()[0].id, UpstreamOutcome::Answered);
    CHECK_EQUAL(1U, fixture.counters.get(Counter::AnswersLate));
    CHECK_FALSE(fixture.answer(2).has_value());
    CHECK_TRUE(fixture.answer(1)->verdict == Verdict::MayHaveRun);
}

TEST(Request, LongAnswerIsSentInPartsAndMissingOnesAgain)
{
    RequestFixture fixture(1);
    fixture.part(1);
    fixture.system.onUpstreamResult(fixture.now, { fixture.handOvers()[0].id, UpstreamOutcome::Answered, Bytes(2 * maximumPartBytes + 1) }, fixture.actions);
    CHECK_EQUAL(3, fixture.answer(1)->partCount);
    fixture.actions.clear();
    fixture.system.onAnswerAck(fixture.now, fixture.flows[key], { .requestId = 1, .missing = { 1 } }, fixture.actions);
    CHECK_EQUAL(1U, fixture.actions.size());
    CHECK_EQUAL(1, fixture.answer(1)->partIndex);
}

TEST(Request, FinishedIdsRaiseTheWatermark)
{
    FinishedRequests finished;
    finished.add(2);
    CHECK_FALSE(finished.contains(1));
    CHECK_TRUE(finished.contains(2));
    finished.add(1);
    CHECK_EQUAL(2U, finished.watermark);
    finished.add(5);
    finished.add(7);
    finished.raiseWatermark(1);
    CHECK_TRUE(finished.contains(4));
    CHECK_FALSE(finished.contains(6));
    CHECK_TRUE(finished.contains(7));
    finished.raiseWatermarkToHighest();
    CHECK_TRUE(finished.contains(6));
    CHECK_FALSE(finished.contains(8));
}
