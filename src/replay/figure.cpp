/** @file figure.cpp Figures from the records of the simulated callers, upstreams and network. */
#include "replay/figure_func.h"

#include "core/text_func.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lavender {

namespace {

    double mean(const std::vector<double>& samples)
    {
        return samples.empty() ? 0 : std::accumulate(samples.begin(), samples.end(), 0.0) / static_cast<double>(samples.size());
    }

    /** Quantile @p fraction, from 0 to 1; 0 where there are no samples. */
    double quantile(std::vector<double> samples, double fraction)
    {
        if (samples.empty()) {
            return 0;
        }
        std::sort(samples.begin(), samples.end());
        return samples[static_cast<size_t>(fraction * static_cast<double>(samples.size() - 1))];
    }

    /** What the upstreams ran, compared with what the callers were told. */
    struct RunRecord {
        std::vector<std::string> duplicated; ///< Non-idempotent requests that ran more than once.
        std::vector<std::string> falseNotRun; ///< Attempts that ran although their caller was told that they did not.
        double overloads = 0; ///< Requests beyond an upstream's capacity.
        double workAfterDrain = 0; ///< Requests begun later than 2 s after the drain of their upstream began.
        double wrongService = 0; ///< Requests that reached an upstream of another service.
    };

    RunRecord collectRunRecord(const World& world)
    {
        std::map<std::string, uint64_t> keys;
        std::map<std::string, uint64_t> runs;
        RunRecord record;
        for (const auto& agent : world.agentNodes()) {
            for (const auto& [key, count] : agent->upstream().keys) {
                keys[key] += count;
            }
            for (const auto& [run, count] : agent->upstream().runs) {
                runs[run] += count;
            }
            record.overloads += static_cast<double>(agent->upstream().overloads);
            record.workAfterDrain += static_cast<double>(agent->workAfterDrain);
            record.wrongService += static_cast<double>(agent->wrongService);
        }
        for (const std::string& key : world.callers().nonRepeatable) {
            if (const auto found = keys.find(key); found != keys.end() && found->second > 1) {
                record.duplicated.push_back(concat(key, " ran ", found->second, " times"));
            }
        }
        for (const std::string& attempt : world.callers().refusedAttempts) {
            if (runs.contains(attempt)) {
                record.falseNotRun.push_back(concat(attempt, " was said not to have run"));
            }
        }
        return record;
    }

} // namespace

Figures collectFigures(const World& world)
{
    const CallerTally& callers = world.callers();
    const WorldMeasures& measures = world.measures();
    const RunRecord runs = collectRunRecord(world);
    Figures figures {
        { "broken_flows", static_cast<double>(callers.broken.count) },
        { "unopened_flows", static_cast<double>(callers.unopened.count) },
        { "given_up_flows", static_cast<double>(callers.givenUp) },
        { "opened_flows", static_cast<double>(callers.opened) },
        { "duplicated_requests", static_cast<double>(runs.duplicated.size()) },
        { "false_not_run", static_cast<double>(runs.falseNotRun.size()) },
        { "wrong_answers", static_cast<double>(callers.wrongAnswers.count) },
        { "wrong_service", runs.wrongService },
        { "answered", static_cast<double>(callers.answered) },
        { "not_run", static_cast<double>(callers.notRun) },
        { "may_have_run", static_cast<double>(callers.mayHaveRun) },
        { "overloads", runs.overloads },
        { "work_after_drain", runs.workAfterDrain },
        { "two_owners", static_cast<double>(measures.twoOwners.count) },
        { "revision_reverts", static_cast<double>(measures.revisionReverts.count) },
        { "in_force_ms", static_cast<double>(toMilliseconds(measures.revisionLag)) },
        { "extra_hops", measures.packetsFromBalancers == 0 ? 0 : static_cast<double>(measures.packetsFromAgents) / static_cast<double>(measures.packetsFromBalancers) },
        { "store_writes", static_cast<double>(world.platformStore().writes) },
        { "store_reads", static_cast<double>(world.platformStore().reads) },
    };
    double givenUpElsewhere = 0;
    for (const auto& [zone, count] : callers.givenUpByZone) {
        givenUpElsewhere += world.zonesEverOut().contains(zone) ? 0 : static_cast<double>(count);
    }
    figures["given_up_elsewhere"] = givenUpElsewhere;
    for (const auto& [service, samples] : measures.imbalance) {
        figures[concat("imbalance_mean:", service)] = mean(samples);
        figures[concat("imbalance_p99:", service)] = quantile(samples, 0.99);
    }
    for (const std::string& zone : world.zonesEverOut()) {
        const auto quiet = measures.timeToLastPacket.find(zone);
        figures[concat("quiet_ms:", zone)] = quiet == measures.timeToLastPacket.end() ? 0 : static_cast<double>(toMilliseconds(quiet->second));
    }
    return figures;
}

std::vector<FailedExpectation> checkExpectations(const Trace& trace, const Figures& figures, const World& world)
{
    const RunRecord runs = collectRunRecord(world);
    const std::map<std::string, std::vector<std::string>> cases {
        { "broken_flows", world.callers().broken.cases },
        { "unopened_flows", world.callers().unopened.cases },
        { "wrong_answers", world.callers().wrongAnswers.cases },
        { "two_owners", world.measures().twoOwners.cases },
        { "revision_reverts", world.measures().revisionReverts.cases },
        { "duplicated_requests", runs.duplicated },
        { "false_not_run", runs.falseNotRun },
    };
    std::vector<FailedExpectation> failed;
    for (const TraceExpectation& expectation : trace.expectations) {
        const std::string name = expectation.subject.empty() ? expectation.figure : concat(expectation.figure, ":", expectation.subject);
        const auto found = figures.find(name);
        const double value = found == figures.end() ? std::nan("") : found->second;
        // A missing figure fails either bound: comparisons with NaN are false.
        const bool isMet = expectation.isUpperBound ? value <= expectation.bound : value >= expectation.bound;
        if (!isMet) {
            const auto list = cases.find(expectation.figure);
            failed.push_back({ expectation, value, list == cases.end() ? std::vector<std::string>() : list->second });
        }
    }
    return failed;
}

} // namespace lavender
