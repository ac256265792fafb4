/** @file caller_model.h Callers as tests and replays play them: long flows with a request now and then, short flows with one. */
#pragma once

#include "core/random_base.h"
#include "core/verdict_type.h"
#include "wire/exchange_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavender {

/** Callers of one service. */
struct CallerSpec {
    std::string service;
    Address address; ///< Where they send to.
    Duration period = 1s; ///< About the time between two requests of a long flow.
    bool isRepeatable = false;
    uint32_t bodyBytes = 100; ///< Requests have 1 to so many bytes.
};

/** How often something was seen to go wrong, with the first few cases. */
struct FaultRecord {
    uint64_t count = 0;
    std::vector<std::string> cases; ///< "at TIME: FLOW: what"; the first few.

    void note(std::string text);
};

/** What the callers saw. */
struct CallerTally {
    uint64_t opened = 0;
    uint64_t closed = 0; ///< Flows that lived until their caller ended them.
    uint64_t givenUp = 0;
    uint64_t refused = 0;
    uint64_t answered = 0;
    uint64_t notRun = 0; ///< Final refusals; retried ones do not count.
    uint64_t mayHaveRun = 0;
    uint64_t retries = 0;
    FaultRecord broken;
    FaultRecord unopened;
    FaultRecord wrongAnswers;
    std::map<std::string, uint64_t> givenUpByZone;
    std::map<std::string, uint64_t> reasons;
    std::set<std::string> refusedAttempts; ///< "KEY/ATTEMPT" that were said not to have run.
    std::set<std::string> nonRepeatable; ///< Keys that may run once at the most.
    std::vector<uint32_t> latencies; ///< Milliseconds from a request to its whole answer.
};

/** Text that the upstream of a test answers with. */
std::string expectedAnswer(std::string_view service, std::string_view key, std::string_view body);

/** Many callers behind one host. Sends again what is not answered, and retries only what was not run or may be repeated. */
class CallerModel {
public:
    CallerModel(uint32_t host, Random& random)
        : random(random)
        , host(host)
    {
    }

    /** Opens long flows, spread over @p over. */
    void addLongFlows(TimePoint now, const CallerSpec& spec, uint32_t count, Duration over);
    /** Opens short flows at a steady rate from now until @p until. */
    void addArrivals(TimePoint now, const CallerSpec& spec, double perSecond, TimePoint until);
    /** Nothing new is begun after this; flows are closed once their request is done. */
    void endAt(TimePoint moment) { this->ending = moment; }

    void tick(TimePoint now, std::vector<FlowPacket>& out);
    void onPacket(TimePoint now, const FlowPacket& packet, std::vector<FlowPacket>& out);

    /** True once everything was begun and ended. */
    bool isDone(TimePoint now) const { return now >= this->ending && this->flows.empty(); }
    const CallerTally& tally() const { return this->record; }

private:
    enum class FlowState : uint8_t {
        Opening,
        Open,
        Closing,
        Ended,
    };

    struct CallerRequest {
        uint64_t id = 0;
        uint32_t attempt = 1;
        std::string key;
        std::string body;
        TimePoint begun {};
        TimePoint deadline {};
        TimePoint nextSend {};
        Duration interval {};
        std::vector<std::optional<Bytes>> parts; ///< Of the answer.
    };

    struct CallerFlow {
        FlowKey key;
        size_t spec = 0;
        bool isLong = false;
        FlowState state = FlowState::Opening;
        TimePoint begun {};
        TimePoint nextSend {};
        Duration interval {};
        TimePoint nextRequest {};
        uint64_t lastId = 0;
        int timeouts = 0;
        std::optional<CallerRequest> request;
        std::optional<CallerRequest> waiting; ///< A refused one that will be tried again.
    };

    struct Arrivals {
        size_t spec = 0;
        double perSecond = 0;
        TimePoint until {};
        TimePoint last {};
        double due = 0;
    };

    bool isEnding(TimePoint now) const { return now >= this->ending; }
    size_t specIndex(const CallerSpec& spec);
    CallerFlow& openFlow(TimePoint now, size_t spec, bool isLong, TimePoint firstSend);
    void sendPacket(const CallerFlow& flow, PacketMark mark, const Exchange& exchange, std::vector<FlowPacket>& out) const;
    void beginRequest(TimePoint now, CallerFlow& flow);
    void sendRequest(TimePoint now, CallerFlow& flow, std::vector<FlowPacket>& out);
    void onAnswer(TimePoint now, CallerFlow& flow, const AnswerPart& part, std::vector<FlowPacket>& out);
    void onNotice(TimePoint now, CallerFlow& flow, const FlowNotice& notice);
    void endRequest(TimePoint now, CallerFlow& flow, Verdict verdict, std::string_view reason, Duration retryAfter);
    void breakFlow(TimePoint now, CallerFlow& flow, std::string_view why);
    void replaceFlow(TimePoint now, CallerFlow& flow, Duration delay);
    void beginClose(TimePoint now, CallerFlow& flow);
    void tickFlow(TimePoint now, CallerFlow& flow, std::vector<FlowPacket>& out);
    void tickHandshake(TimePoint now, CallerFlow& flow, std::vector<FlowPacket>& out);

    Random& random;
    uint32_t host;
    uint32_t nextPort = 1024;
    uint64_t nextKey = 1;
    TimePoint ending = TimePoint::max();
    std::vector<CallerSpec> specs;
    std::vector<Arrivals> arrivals;
    std::map<FlowKey, CallerFlow> flows;
    CallerTally record;
};

} // namespace lavender
