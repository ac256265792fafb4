/** @file caller_model.h Simulated callers of replays and stand-ins: long flows with repeated requests, short flows with a single one. */
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

/** Service that simulated callers use, and how they use it. */
struct CallerSpec {
    std::string service;
    Address address; ///< Address of the service.
    Duration requestPeriod = 1s; ///< Mean time from the end of a request of a long flow to the next; jittered by half of it either way.
    bool isIdempotent = false; ///< Whether requests are idempotent: they may run more than once.
    uint32_t bodyBytes = 100; ///< Largest body of a request, in bytes; sizes are uniform from 1 byte on.
};

/** Number of faults of one kind, with descriptions of the first 20. */
struct FaultRecord {
    uint64_t count = 0;
    std::vector<std::string> cases; ///< "at TIME ms: FLOW or NODE: what happened", for the first 20 faults.

    /** Counts a fault; @p text is kept for the first 20. */
    void add(std::string text);
};

/** Outcomes of flows and requests as the callers observed them. */
struct CallerTally {
    uint64_t opened = 0; ///< Flows that an agent accepted.
    uint64_t closed = 0; ///< Flows that stayed up until their caller closed them.
    uint64_t givenUp = 0; ///< Flows that an agent ended since its zone was taken out.
    uint64_t refused = 0; ///< Flows refused while opening; until the end time, a new flow is opened in place of each.
    uint64_t answered = 0; ///< Requests with a complete answer.
    uint64_t notRun = 0; ///< Requests whose last attempt was refused without running; retried refusals are not counted.
    uint64_t mayHaveRun = 0; ///< Requests that ended without an answer and may have run.
    uint64_t retries = 0; ///< Attempts after the first of a request.
    FaultRecord broken; ///< Flows reported lost, or silent for several requests or at their close.
    FaultRecord unopened; ///< Flows that no agent accepted or refused in time.
    FaultRecord wrongAnswers; ///< Answers that differ from expectedAnswer.
    std::map<std::string, uint64_t> givenUpByZone; ///< Flows ended since a zone was taken out, by the zone of the agent that ended them.
    std::map<std::string, uint64_t> reasons; ///< Finished requests by reason of their final verdict.
    std::set<std::string> refusedAttempts; ///< Attempts reported as not run, as "KEY/ATTEMPT".
    std::set<std::string> nonRepeatable; ///< Idempotency keys of requests that must not run more than once.
    std::vector<uint32_t> latencies; ///< Milliseconds from the first attempt of a request to its complete answer.
};

/** Answer of a simulated upstream to a request. */
std::string expectedAnswer(std::string_view service, std::string_view key, std::string_view body);

/**
 * Simulates many callers; their flows differ by port, and by host once the ports are used up.
 * Retransmits packets until they are answered. Retries a request only where it did not run or is idempotent.
 */
class CallerModel {
public:
    CallerModel(uint32_t host, Random& random)
        : random(random)
        , host(host)
    {
    }

    /** Opens @p count long flows at equal intervals over @p spread. */
    void addLongFlows(TimePoint now, const CallerSpec& spec, uint32_t count, Duration spread);
    /** Opens @p perSecond short flows a second from now until @p until. */
    void addArrivals(TimePoint now, const CallerSpec& spec, double perSecond, TimePoint until);
    /** Sets the time from which no flow, request or retry is begun, and flows are closed once their request is finished. */
    void endAt(TimePoint time) { this->endTime = time; }

    /** Sends what is due; to be called every few milliseconds. */
    void tick(TimePoint now, std::vector<FlowPacket>& out);
    void onPacket(TimePoint now, const FlowPacket& packet, std::vector<FlowPacket>& out);

    /** True once the end time has passed and all flows have ended. */
    bool isDone(TimePoint now) const { return now >= this->endTime && this->flows.empty(); }
    const CallerTally& tally() const { return this->counts; }

private:
    enum class FlowState : uint8_t {
        Opening,
        Open,
        Closing,
        Ended,
    };

    struct CallerRequest {
        uint64_t id = 0; ///< Rises within a flow; each attempt has its own.
        uint32_t attempt = 1; ///< Number of this attempt.
        std::string key; ///< Idempotency key, the same for all attempts.
        std::string body;
        TimePoint startedAt {}; ///< Start of the first attempt.
        TimePoint deadline {}; ///< Deadline of this attempt.
        TimePoint nextSend {}; ///< Time of the next transmission.
        Duration resendInterval {}; ///< Time from the next transmission to the one after it; grows.
        std::vector<std::optional<Bytes>> parts; ///< Parts of the answer received so far; empty before the first.
    };

    struct CallerFlow {
        FlowKey key;
        size_t specIndex = 0; ///< Index in CallerModel::specs.
        bool isLong = false; ///< False: closed after its first request.
        FlowState state = FlowState::Opening;
        TimePoint startedAt {}; ///< When the caller began to open or, later, to close the flow.
        TimePoint nextSend {}; ///< Next transmission of the opening or closing packet.
        Duration resendInterval {}; ///< Time from the next opening or closing packet to the one after it; grows.
        TimePoint nextRequest {}; ///< Earliest time of the next request or retry.
        uint64_t lastRequestId = 0;
        int consecutiveTimeouts = 0; ///< Requests without an answer since the last answer.
        std::optional<CallerRequest> request; ///< Request in progress.
        std::optional<CallerRequest> retry; ///< Request to try again at nextRequest.
    };

    /** Short flows that open at a steady rate. */
    struct Arrivals {
        size_t specIndex = 0; ///< Index in CallerModel::specs.
        double perSecond = 0; ///< Flows to open a second.
        TimePoint until {}; ///< End of the arrivals.
        TimePoint lastTick {}; ///< Time up to which pendingFlows is computed.
        double pendingFlows = 0; ///< Flows due but not opened yet, with a fraction.
    };

    bool isPastEnd(TimePoint now) const { return now >= this->endTime; }
    /** @return Index of the added spec in CallerModel::specs. */
    size_t addSpec(const CallerSpec& spec);
    /** Adds a flow from the next unused port; its opening packet is sent from @p firstSend on. */
    CallerFlow& openFlow(TimePoint now, size_t specIndex, bool isLong, TimePoint firstSend);
    void sendPacket(const CallerFlow& flow, PacketMark mark, const FlowPayload& payload, std::vector<FlowPacket>& out) const;
    /** Begins the request to try again, or a new one. */
    void beginRequest(TimePoint now, CallerFlow& flow);
    /** Sends all parts of the request or, once a part of the answer is here, asks for the missing ones. */
    void sendRequest(TimePoint now, CallerFlow& flow, std::vector<FlowPacket>& out);
    void onAnswerPart(TimePoint now, CallerFlow& flow, const AnswerPart& part, std::vector<FlowPacket>& out);
    void onNotice(TimePoint now, CallerFlow& flow, const FlowNotice& notice);
    /** Ends an attempt: schedules a retry where the verdict allows it, else counts the request as finished. */
    void finishRequest(TimePoint now, CallerFlow& flow, Verdict verdict, std::string_view reason, Duration retryAfter);
    /** Counts a flow as broken, ends its request as MayHaveRun, and replaces it. */
    void failFlow(TimePoint now, CallerFlow& flow, std::string_view reason);
    /** Ends a flow and opens a new one in its place, with the request to try again; short flows whose work is finished get no new one. */
    void replaceFlow(TimePoint now, CallerFlow& flow, Duration delay);
    void beginClose(TimePoint now, CallerFlow& flow);
    void tickFlow(TimePoint now, CallerFlow& flow, std::vector<FlowPacket>& out);
    /** Retransmits the opening or closing packet, or ends the flow at the timeout. */
    void tickHandshake(TimePoint now, CallerFlow& flow, std::vector<FlowPacket>& out);

    Random& random;
    uint32_t host; ///< Host of the latest flow.
    uint32_t currentPort = 1024; ///< Port of the latest flow.
    uint64_t nextKey = 1; ///< Number in the idempotency key of the next request.
    TimePoint endTime = TimePoint::max();
    std::vector<CallerSpec> specs;
    std::vector<Arrivals> arrivals;
    std::map<FlowKey, CallerFlow> flows;
    CallerTally counts;
};

} // namespace lavender
