/** @file request_base.h The requests of an agent's flows: collected, admitted, handed over once, answered. */
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
    Answered, ///< A whole answer came.
    Shed, ///< The upstream refused it as overload.
    Failed, ///< The exchange broke after bytes may have reached the upstream.
    Unreachable, ///< No connection came about: the upstream never had the request.
};

/** The end of one exchange with the upstream. */
struct UpstreamResult {
    HandOverId id;
    UpstreamOutcome outcome = UpstreamOutcome::Failed;
    Bytes answer;
};

/** Runs the requests of all flows of one agent. */
class RequestSystem {
public:
    RequestSystem(std::string service, FlowTable& flows, Random& random, Counters& counters);

    void onPart(TimePoint now, Flow& flow, const RequestPart& part, Actions& actions);
    void onAsk(TimePoint now, Flow& flow, const AnswerAsk& ask, Actions& actions);
    void onUpstreamResult(TimePoint now, const UpstreamResult& result, Actions& actions);

    /** Ends what is past its deadline, forgets old answers, starts what fits. */
    void tick(TimePoint now, Actions& actions);

    /**
     * Ends every request of a flow that goes away.
     * @return Ids of those that may have run.
     */
    std::vector<uint64_t> endFlow(TimePoint now, Flow& flow, VerdictReason reason, Actions& actions);

    /** Removes requests that no upstream has; their caller sends them again to the flow's next owner. */
    void dropUnstarted(TimePoint now, Flow& flow);

    /** True where nothing of the flow runs and every answer has reached its caller, or was kept for long enough. */
    bool isIdle(TimePoint now, const Flow& flow) const;

    /** Work begins only while this is set. */
    void setStarting(bool isAllowed) { this->isStarting = isAllowed; }

    AdmissionLimiter& admission() { return this->limiter; }
    const AdmissionLimiter& admission() const { return this->limiter; }
    /** When the upstream last answered; zero where it never has. */
    TimePoint lastAnswerTime() const { return this->lastAnswer; }
    uint16_t inFlight() const { return static_cast<uint16_t>(this->running.size()); }
    size_t queued() const { return this->queue.size(); }
    /** Milliseconds after which a refused caller may come back. */
    uint32_t retryAfter();
    /** Mean time of an exchange with the upstream, in milliseconds. */
    double meanLatency() const;
    double latencyQuantile99() const;

private:
    struct RequestRef {
        FlowKey flow;
        uint64_t request = 0;
    };

    /** What is known of an idempotency key. */
    struct KeyRecord {
        bool mayHaveRun = false;
        TimePoint expires {};
    };

    using LatencyMetric = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean, boost::accumulators::tag::p_square_quantile>>;

    Request* resolve(const RequestRef& ref, Flow** flow);
    void admit(TimePoint now, Flow& flow, Request& request, Actions& actions);
    void start(TimePoint now, Flow& flow, Request& request, Actions& actions);
    void end(TimePoint now, Flow& flow, Request& request, Verdict verdict, VerdictReason reason, Actions& actions);
    void expire(TimePoint now, Actions& actions);
    void startQueued(TimePoint now, Actions& actions);
    void forgetAnswers(TimePoint now);
    void sendAnswer(const Flow& flow, const Request& request, std::span<const uint16_t> parts, Actions& actions) const;

    std::string service;
    FlowTable& flows;
    Random& random;
    Counters& counters;
    AdmissionLimiter limiter;
    bool isStarting = true;
    TimePoint lastAnswer {};
    uint64_t nextHandOver = 1;
    std::map<uint64_t, RequestRef> running; ///< By HandOverId.
    std::multimap<TimePoint, RequestRef> queue; ///< By deadline.
    std::multimap<TimePoint, RequestRef> ended; ///< By the time of their end; answers kept for their callers.
    std::unordered_map<std::string, KeyRecord> keys;
    std::multimap<TimePoint, std::string> keyExpiry;
    LatencyMetric latency { boost::accumulators::quantile_probability = 0.99 };
};

} // namespace lavender
