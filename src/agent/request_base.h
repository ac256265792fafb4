/** @file request_base.h Requests of an agent's flows: reassembly, admission, a single hand-over to the upstream, answers. */
#pragma once

#include "agent/admission_base.h"
#include "agent/flow_base.h"
#include "core/action_type.h"
#include "core/counter_type.h"
#include "core/random_base.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>

namespace lavender {

/** How an exchange with the upstream ended. */
enum class UpstreamOutcome : uint8_t {
    Answered, ///< A complete answer arrived.
    Shed, ///< The upstream refused the request because it is overloaded.
    Failed, ///< The connection broke after the request may have reached the upstream.
    Unreachable, ///< No connection was established: the request did not reach the upstream.
};

/** Result of one exchange with the upstream. */
struct UpstreamResult {
    UpstreamRequestId id;
    UpstreamOutcome outcome = UpstreamOutcome::Failed;
    Bytes answer; ///< Empty unless Answered.
};

/** Handles the requests of all flows of one agent. A request is handed to the upstream at most once; each that ends here gets a verdict. */
class RequestSystem {
public:
    RequestSystem(std::string service, FlowTable& flows, Random& random, Counters& counters);

    /** Handles one part of a request. A repeated part of a request whose answer is still kept makes the answer be sent again; other repeated parts are ignored. */
    void onPart(TimePoint now, Flow& flow, const RequestPart& part, Actions& actions);
    /** Sends the missing parts of an answer again; none missing confirms the answer, and the request is dropped. */
    void onAnswerAck(TimePoint now, Flow& flow, const AnswerAck& ack, Actions& actions);
    /** Ends the request that the exchange belongs to; a result of an ended request is ignored. */
    void onUpstreamResult(TimePoint now, const UpstreamResult& result, Actions& actions);

    /** Ends requests past their deadline, drops expired answers and idempotency keys, and hands over queued requests. */
    void tick(TimePoint now, Actions& actions);

    /**
     * Ends every open request of a flow that is about to be removed, and cancels those at the upstream.
     * @return Ids of the requests that may have run; a request of the flow with another id has not run and never will.
     */
    FinishedRequests endFlow(TimePoint now, Flow& flow, VerdictReason reason, Actions& actions);

    /**
     * Drops the requests of a flow before it moves: those not handed over, which the caller sends again to the next owner,
     * and ended ones that have waited long enough for the caller's confirmation.
     */
    void discardBeforeMove(TimePoint now, Flow& flow);

    /** True if no request of the flow is at the upstream, and every answer was confirmed or kept for long enough. */
    bool isReadyToMove(TimePoint now, const Flow& flow) const;

    /** While false, new requests are ignored and queued ones are not handed over. */
    void setAcceptingWork(bool isAllowed) { this->isAcceptingWork = isAllowed; }

    AdmissionLimiter& admission() { return this->limiter; }
    const AdmissionLimiter& admission() const { return this->limiter; }
    /** When the upstream last answered a request; zero if it never has. */
    TimePoint lastAnswerTime() const { return this->lastAnswer; }
    /** Requests that the upstream has. */
    uint16_t inFlight() const { return static_cast<uint16_t>(this->running.size()); }
    /** Requests that wait for the admission limit. */
    size_t queued() const { return this->queue.size(); }
    /** Milliseconds that a refused caller should wait before a retry, with jitter. */
    uint32_t retryAfter();
    /** Mean latency of the upstream's answers in milliseconds; 0 without answers. */
    double meanLatency() const;
    /** Estimated 99th percentile of the latency of the upstream's answers in milliseconds; 0 without answers. */
    double latencyQuantile99() const;

private:
    /** Refers to a request that may have been dropped since. */
    struct RequestRef {
        FlowKey flow;
        uint64_t request = 0;
    };

    /** State of an idempotency key. */
    struct KeyRecord {
        bool mayHaveRun = false; ///< A request with this key was handed to the upstream.
        TimePoint expires {};
    };

    using LatencyMetric = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean, boost::accumulators::tag::p_square_quantile>>;

    /** Finds a request and its flow; null if either was dropped, and @p flow is set if the flow exists. */
    Request* resolve(const RequestRef& ref, Flow** flow);
    /** Hands a complete request to the upstream, queues it or ends it. */
    void admit(TimePoint now, Flow& flow, Request& request, Actions& actions);
    /** Hands a request to the upstream. */
    void dispatch(TimePoint now, Flow& flow, Request& request, Actions& actions);
    /** Gives a request its verdict and sends the answer. */
    void endRequest(TimePoint now, Flow& flow, Request& request, Verdict verdict, VerdictReason reason, Actions& actions);
    /** Ends the requests past their deadline; cancels those at the upstream. */
    void endOverdue(TimePoint now, Actions& actions);
    void dispatchQueued(TimePoint now, Actions& actions);
    /** Drops answers and idempotency keys that were kept for long enough. */
    void forgetExpired(TimePoint now);
    /** Sends the named parts of an answer to the caller; all of them if @p parts is empty. */
    void sendAnswer(const Flow& flow, const Request& request, std::span<const uint16_t> parts, Actions& actions) const;

    std::string service;
    FlowTable& flows;
    Random& random;
    Counters& counters;
    AdmissionLimiter limiter;
    bool isAcceptingWork = true; ///< See setAcceptingWork().
    TimePoint lastAnswer {}; ///< When the upstream last answered; zero if it never has.
    uint64_t nextUpstreamRequestId = 1; ///< Next UpstreamRequestId.
    std::map<uint64_t, RequestRef> running; ///< Requests at the upstream, by UpstreamRequestId.
    std::multimap<TimePoint, RequestRef> queue; ///< Requests that wait for the admission limit, by deadline.
    std::multimap<TimePoint, RequestRef> ended; ///< Requests whose answers are kept for retransmission, by the time of their end.
    std::unordered_map<std::string, KeyRecord> keys; ///< Idempotency keys of requests that must not run twice.
    std::multimap<TimePoint, std::string> keyExpiry; ///< Idempotency keys by expiry; KeyRecord::expires counts if the two differ.
    LatencyMetric latency { boost::accumulators::quantile_probability = 0.99 }; ///< Milliseconds from hand-over to answer.
};

} // namespace lavender
