/** @file outlier_detector.cpp Compares the agents of a service and counts the trials of those set aside. */
#include "balancer/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace lavender {

namespace {

    constexpr Duration reportLifetime = 3s; ///< Older reports are not compared: the service may have changed as a whole.
    constexpr Duration agentLifetime = 10s; ///< An agent without a report for this long is forgotten; if it was set aside, it is back.
    constexpr size_t minimumOthers = 2; ///< Other agents that a comparison needs.
    constexpr uint32_t minimumOtherRequests = 10; ///< Requests of the others that a comparison needs.
    constexpr uint64_t trialDivisor = 7; ///< Of an even share that are trials; the openings before a fault shows again come on top.
    constexpr uint16_t minimumFailures = 4; ///< Fewer may come of one cause, such as a lost packet of each of three callers.
    constexpr double minimumEvidence = 14; ///< Negative logarithm of the chance that a healthy upstream fails as often by accident.
    constexpr Duration confirmationTime = 600ms; ///< Half the window: by then all agents with some load have reported again.
    constexpr Duration relapseTime = 10s; ///< An upstream that fails part of its requests may pass its trials by accident.
    constexpr double relapseEvidence = 6; ///< In place of minimumEvidence within relapseTime.
    constexpr double minimumExcess = 0.15; ///< Share of requests failed beyond that of the others; a lower one costs callers less than capacity lost.
    constexpr double slowFactor = 3; ///< Multiple of the others' processing time; a cold upstream takes 1.6 times as long.
    constexpr double minimumSlownessUs = 100'000; ///< Beyond the others' processing time: what callers notice.
    constexpr uint16_t minimumTimedRequests = 5; ///< Finished requests that a mean processing time must rest on.
    constexpr uint16_t goodTrials = 5; ///< Requests that must end well in a row before an agent is back.

    /** Requests of one upstream that have ended. */
    uint32_t totalOf(const RequestOutcomes& requests) { return uint32_t { requests.finished } + requests.failed; }

    /** Share of requests that ended badly; 0 without requests. */
    double failedShareOf(const RequestOutcomes& requests)
    {
        const uint32_t total = totalOf(requests);
        return total == 0 ? 0 : static_cast<double>(requests.failed) / total;
    }

    /** Chernoff bound: the chance that at least the share @p seen of @p total requests fails if each fails with @p expected is below exp(-result). */
    double evidence(double seen, double expected, uint32_t total)
    {
        if (seen <= expected) {
            return 0;
        }
        const double failures = seen * std::log(seen / expected);
        const double successes = seen >= 1 ? 0 : (1 - seen) * std::log((1 - seen) / (1 - expected));
        return total * (failures + successes);
    }

    std::string formatShare(double share) { return std::to_string(std::lround(share * 100)); }

} // namespace

void OutlierDetector::configure(const OutlierSettings& newSettings)
{
    this->settings = newSettings;
    if (this->settings.oneIn == 0) {
        this->services.clear();
        this->asideTotal = 0;
    }
}

const OutlierDetector::AgentState* OutlierDetector::findAside(uint64_t service, Address agent) const
{
    if (this->asideTotal == 0) {
        return nullptr; // Fast path: usually there is no outlier.
    }
    const auto state = this->services.find(service);
    if (state == this->services.end()) {
        return nullptr;
    }
    const auto found = state->second.agents.find(agent);
    return found == state->second.agents.end() || !found->second.asideSince ? nullptr : &found->second;
}

void OutlierDetector::onReport(TimePoint now, uint64_t service, Address agent, const RequestOutcomes& requests)
{
    if (this->settings.oneIn == 0) {
        return;
    }
    ServiceState& state = this->services[service];
    AgentState& agentState = state.agents[agent];
    agentState.requests = requests;
    agentState.reportedAt = now;
    if (!agentState.asideSince) {
        this->considerSettingAside(now, state, agent, agentState);
        return;
    }
    const std::optional<Baseline> others = this->baselineOf(now - reportLifetime, state, agent);
    if (others && hasRecovered(requests, *others)) {
        this->takeBack(now, agent, agentState, "recovered");
    }
}

/**
 * Sets an agent aside if it is an outlier. When a whole service turns ill, its agents report that one after the other. So the fault
 * must last, and is then compared with what the others have reported since. An agent that was set aside shortly before gets less time.
 */
void OutlierDetector::considerSettingAside(TimePoint now, ServiceState& state, Address agent, AgentState& agentState)
{
    const RequestOutcomes& requests = agentState.requests;
    const bool isRelapse = agentState.backSince != TimePoint {} && now - agentState.backSince < relapseTime;
    const double evidenceNeeded = isRelapse ? relapseEvidence : minimumEvidence;
    const auto faultSince = [&](TimePoint notBefore) -> std::pair<std::string_view, Baseline> {
        const bool maySuffice = requests.failed >= minimumFailures || requests.processingUs >= minimumSlownessUs; // Spares most comparisons.
        const std::optional<Baseline> others = maySuffice ? this->baselineOf(notBefore, state, agent) : std::nullopt;
        return others ? std::pair(faultOf(requests, *others, evidenceNeeded), *others) : std::pair(std::string_view {}, Baseline {});
    };
    if (faultSince(now - reportLifetime).first.empty()) {
        agentState.suspectedSince.reset();
        return;
    }
    agentState.suspectedSince = agentState.suspectedSince.value_or(now);
    const Duration lasting = now - *agentState.suspectedSince;
    if (lasting < (isRelapse ? Duration::zero() : confirmationTime)) {
        return;
    }
    const auto [fault, others] = faultSince(isRelapse ? now - reportLifetime : now - lasting / 2);
    if (!fault.empty() && this->mayAsideOneMore(state)) {
        this->setAside(now, state, agent, agentState, fault, others);
    }
}

/**
 * What the other agents of a service report. The third that fails most is left out, as it may be ill itself.
 * @param notBefore Earlier reports are left out.
 * @return None if too few others have reported to compare with them.
 */
std::optional<OutlierDetector::Baseline> OutlierDetector::baselineOf(TimePoint notBefore, const ServiceState& state, Address agent) const
{
    std::vector<std::pair<double, const RequestOutcomes*>> others; // With their failed shares.
    std::vector<uint32_t> processingTimes;
    for (const auto& [address, other] : state.agents) {
        if (address == agent || other.reportedAt < notBefore || totalOf(other.requests) == 0) {
            continue;
        }
        others.emplace_back(failedShareOf(other.requests), &other.requests);
        if (other.requests.processingUs != 0) {
            processingTimes.push_back(other.requests.processingUs);
        }
    }
    if (others.size() < minimumOthers) {
        return std::nullopt;
    }
    const auto kept = static_cast<std::ptrdiff_t>(others.size() - others.size() / this->settings.oneIn);
    std::nth_element(others.begin(), others.begin() + kept - 1, others.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    others.resize(static_cast<size_t>(kept));
    uint32_t total = 0;
    uint32_t failed = 0;
    for (const auto& [share, other] : others) {
        total += totalOf(*other);
        failed += other->failed;
    }
    if (total < minimumOtherRequests) {
        return std::nullopt;
    }
    Baseline result { .failedShare = (failed + 1.0) / (total + 2.0) }; // Laplace's rule: a few requests without a failure prove little.
    if (processingTimes.size() >= minimumOthers) {
        const auto middle = processingTimes.begin() + static_cast<std::ptrdiff_t>(processingTimes.size() / 2);
        std::nth_element(processingTimes.begin(), middle, processingTimes.end());
        result.processingUs = *middle;
    }
    return result;
}

/** Name of the fault for which an agent is an outlier; empty if it is none. */
std::string_view OutlierDetector::faultOf(const RequestOutcomes& requests, const Baseline& others, double evidenceNeeded)
{
    const double share = failedShareOf(requests);
    if (requests.failed >= minimumFailures && share >= others.failedShare + minimumExcess && evidence(share, others.failedShare, totalOf(requests)) >= evidenceNeeded) {
        return "requests_failed";
    }
    const bool isTimed = others.processingUs > 0 && requests.finished >= minimumTimedRequests;
    if (isTimed && requests.processingUs > others.processingUs * slowFactor && requests.processingUs - others.processingUs >= minimumSlownessUs) {
        return "slow";
    }
    return {};
}

/** True if the latest requests ended well, in time and about as often as at the other agents. The window then holds trials only, as requests from before the recovery have left it. */
bool OutlierDetector::hasRecovered(const RequestOutcomes& requests, const Baseline& others)
{
    const bool isSlow = others.processingUs > 0 && requests.processingUs > others.processingUs * slowFactor && requests.processingUs - others.processingUs >= minimumSlownessUs;
    return requests.goodInARow >= goodTrials && !isSlow && failedShareOf(requests) <= others.failedShare;
}

bool OutlierDetector::mayAsideOneMore(const ServiceState& state) const
{
    const auto aside = std::count_if(state.agents.begin(), state.agents.end(), [](const auto& entry) { return entry.second.asideSince.has_value(); });
    return static_cast<size_t>(aside) < state.agents.size() / this->settings.oneIn;
}

void OutlierDetector::setAside(TimePoint now, ServiceState& state, Address agent, AgentState& agentState, std::string_view fault, const Baseline& others)
{
    agentState.asideSince = now;
    ++this->asideTotal;
    agentState.placedBefore = state.placed;
    agentState.trials = 0;
    this->counters.add(Counter::OutliersAside);
    this->events.log(EventLevel::Info, "outlier-aside",
        {
            { "agent", formatAddress(agent) },
            { "reason", std::string(fault) },
            { "failed", std::to_string(agentState.requests.failed) },
            { "finished", std::to_string(agentState.requests.finished) },
            { "others_failed_percent", formatShare(others.failedShare) },
            { "processing_ms", std::to_string(agentState.requests.processingUs / 1000) },
            { "others_processing_ms", std::to_string(std::lround(others.processingUs / 1000)) },
            { "agents", std::to_string(state.agents.size()) },
        });
}

void OutlierDetector::takeBack(TimePoint now, Address agent, AgentState& agentState, std::string_view reason)
{
    this->events.log(EventLevel::Info, "outlier-back",
        {
            { "agent", formatAddress(agent) },
            { "reason", std::string(reason) },
            { "aside_ms", std::to_string(toMilliseconds(now - *agentState.asideSince)) },
            { "trials", std::to_string(agentState.trials) },
        });
    agentState.asideSince.reset();
    agentState.suspectedSince.reset();
    agentState.backSince = now;
    --this->asideTotal;
}

void OutlierDetector::onPlaced(uint64_t service)
{
    if (const auto state = this->services.find(service); state != this->services.end()) {
        ++state->second.placed;
    }
}

void OutlierDetector::onOffer(uint64_t service, Address agent)
{
    if (!this->isAside(service, agent)) {
        return;
    }
    ++this->services[service].agents[agent].trials;
    this->counters.add(Counter::OutlierTrials);
}

bool OutlierDetector::isAside(uint64_t service, Address agent) const
{
    return this->findAside(service, agent) != nullptr;
}

bool OutlierDetector::isHeldBack(uint64_t service, Address agent) const
{
    const AgentState* state = this->findAside(service, agent);
    if (state == nullptr) {
        return false;
    }
    const ServiceState& all = this->services.at(service);
    return (state->trials + 1) * trialDivisor * all.agents.size() > all.placed - state->placedBefore;
}

void OutlierDetector::expire(TimePoint now)
{
    for (auto& [service, state] : this->services) {
        for (auto& [agent, agentState] : state.agents) {
            if (agentState.asideSince && now - agentState.reportedAt >= agentLifetime) {
                this->takeBack(now, agent, agentState, "no_reports");
            }
        }
        std::erase_if(state.agents, [now](const auto& entry) { return now - entry.second.reportedAt >= agentLifetime; });
    }
    std::erase_if(this->services, [](const auto& entry) { return entry.second.agents.empty(); });
}

} // namespace lavender
