/** @file steering_bench.cpp Benchmark of flow steering: broken flows, imbalance, extra hops, time per decision. */
#include "bench_type.h"

#include "config/rule_func.h"
#include "core/text_func.h"
#include "placement_model.h"
#include "replay/figure_func.h"

#include <fstream>
#include <future>
#include <iterator>
#include <thread>

namespace lavender {

namespace {

    /** Calls @p function with seeds 1..@p seeds, on as many threads as there are cores. @return The results, by ascending seed. */
    template <typename Function>
    auto runSeeds(unsigned seeds, const Function& function)
    {
        using Result = decltype(function(uint64_t {}));
        std::vector<Result> results(seeds);
        std::vector<std::future<void>> workers;
        const unsigned workerCount = std::max(1U, std::thread::hardware_concurrency());
        for (unsigned worker = 0; worker < workerCount; ++worker) {
            workers.push_back(std::async(std::launch::async, [&, worker] {
                for (unsigned seed = worker; seed < seeds; seed += workerCount) {
                    results[seed] = function(seed + 1);
                }
            }));
        }
        for (std::future<void>& worker : workers) {
            worker.wait();
        }
        return results;
    }

    Trace loadTrace(const std::string& path)
    {
        std::ifstream file(path);
        const std::string text { std::istreambuf_iterator<char>(file), {} };
        return parseTrace(text).value();
    }

    /** Maximum and sum of a replay's figure over several seeds. */
    struct FigureSummary {
        double highest = 0;
        double sum = 0;
    };

    /** Replays the trace at @p path with seeds 1..@p seeds. @param figure Name of the figure, as for collectFigures(). */
    FigureSummary summarizeFigure(const std::string& path, const std::string& figure, unsigned seeds, const ReplayPolicy& policy = {})
    {
        const Trace trace = loadTrace(path);
        const std::vector<double> values = runSeeds(seeds, [&](uint64_t seed) {
            World world(trace, policy, seed);
            world.run();
            return collectFigures(world)[figure];
        });
        FigureSummary summary;
        for (double value : values) {
            summary.highest = std::max(summary.highest, value);
            summary.sum += value;
        }
        return summary;
    }

    void addReplayRows(std::vector<BenchRow>& rows, unsigned seeds, const std::string& traces)
    {
        for (const char* name : { "wrekin-balancers", "wrekin-upstreams", "krojac-rolling", "krojac-store" }) {
            const std::string path = concat(traces, "/", name, ".jsonl");
            const double product = summarizeFigure(path, "broken_flows", seeds).sum;
            const double consistent = summarizeFigure(path, "broken_flows", 1, { .steering = "hash", .isChainingEnabled = false }).sum;
            const double modulo = summarizeFigure(path, "broken_flows", 1, { .steering = "naive", .isChainingEnabled = false }).sum;
            rows.push_back({ .name = concat("broken flows, planned changes: ", name),
                .value = product,
                .unit = "flows",
                .bound = 0,
                .note = concat("seeds 1..", seeds, "; seed 1 alone: consistent hashing ", consistent, ", modulo ", modulo) });
        }
        const std::string zoneTrace = concat(traces, "/krojac-zone.jsonl");
        rows.push_back({ .name = "last packet into a zone after its rule is committed",
            .value = summarizeFigure(zoneTrace, "quiet_ms:hr-north-c", seeds).highest,
            .unit = "ms",
            .bound = 2000,
            .note = concat("5% control loss, highest of seeds 1..", seeds) });
        rows.push_back({ .name = "extra hops per packet of a flow, nothing changes",
            .value = summarizeFigure(concat(traces, "/wrekin-steady.jsonl"), "extra_hops", seeds).highest,
            .unit = "hops",
            .bound = 0.05,
            .note = "long and short flows" });
        rows.push_back({ .name = "extra hops per packet of a flow, rolling replacement",
            .value = summarizeFigure(concat(traces, "/krojac-rolling.jsonl"), "extra_hops", std::min(seeds, 20U)).highest,
            .unit = "hops",
            .bound = 0.5,
            .note = "" });
    }

    /** Runs the placement simulation with seeds 1..@p seeds. @return The mean of each figure. */
    PlacementResult averagePlacement(PlacementScenario scenario, unsigned seeds)
    {
        const std::vector<PlacementResult> results = runSeeds(seeds, [&](uint64_t seed) {
            PlacementScenario run = scenario;
            run.seed = seed;
            return runPlacement(run);
        });
        PlacementResult mean;
        for (const PlacementResult& result : results) {
            mean.flowImbalanceMean += result.flowImbalanceMean / seeds;
            mean.flowImbalanceP99 += result.flowImbalanceP99 / seeds;
            mean.slotImbalanceMean += result.slotImbalanceMean / seeds;
            mean.remoteFlowShare += result.remoteFlowShare / seeds;
        }
        return mean;
    }

    void addFlowBalanceRows(std::vector<BenchRow>& rows, unsigned seeds)
    {
        PlacementScenario scenario;
        const PlacementResult product = averagePlacement(scenario, seeds);
        scenario.loadReportDelay = 1s;
        const PlacementResult delayedReports = averagePlacement(scenario, seeds);
        scenario.areLoadReportsDelivered = false;
        const PlacementResult noReports = averagePlacement(scenario, seeds);
        scenario.steering = "hash";
        const PlacementResult consistent = averagePlacement(scenario, seeds);
        scenario.steering = "naive";
        const PlacementResult modulo = averagePlacement(scenario, seeds);
        const std::string comparison = concat("consistent hashing ", consistent.flowImbalanceMean, ", modulo ", modulo.flowImbalanceMean);
        rows.push_back({ .name = "imbalance of flows held, 7 upstreams, average",
            .value = product.flowImbalanceMean,
            .unit = "max/mean",
            .bound = 1.02,
            .note = comparison });
        rows.push_back({ .name = "imbalance of flows held, 7 upstreams, 99th percentile",
            .value = product.flowImbalanceP99,
            .unit = "max/mean",
            .bound = 1.05,
            .note = "" });
        rows.push_back({ .name = "the same over the better naive version",
            .value = product.flowImbalanceMean / std::min(consistent.flowImbalanceMean, modulo.flowImbalanceMean),
            .unit = "ratio",
            .bound = 1,
            .note = "" });
        rows.push_back({ .name = "flows that live one hop away",
            .value = product.remoteFlowShare,
            .unit = "share",
            .bound = reportedOnly,
            .note = "" });
        rows.push_back({ .name = "news 1 s old, over consistent hashing",
            .value = delayedReports.flowImbalanceMean / consistent.flowImbalanceMean,
            .unit = "ratio",
            .bound = 1.02,
            .note = "" });
        rows.push_back({ .name = "no news, over consistent hashing",
            .value = noReports.flowImbalanceMean / consistent.flowImbalanceMean,
            .unit = "ratio",
            .bound = 1.02,
            .note = "" });
    }

    void addSlotBalanceRows(std::vector<BenchRow>& rows, unsigned seeds)
    {
        for (const uint16_t slots : { uint16_t { 5 }, uint16_t { 8 } }) {
            PlacementScenario scenario { .slots = slots, .meanFlowTime = 100ms, .hasRequests = true };
            scenario.flowsPerSecond = 0.7 * slots * scenario.agents / 0.1;
            const PlacementResult product = averagePlacement(scenario, seeds);
            scenario.loadReportDelay = 1s;
            const PlacementResult delayedReports = averagePlacement(scenario, seeds);
            scenario.areLoadReportsDelivered = false;
            const PlacementResult noReports = averagePlacement(scenario, seeds);
            scenario.steering = "hash";
            const PlacementResult consistent = averagePlacement(scenario, seeds);
            const std::string name = concat("imbalance of slots in use, 7 x ", slots, ", 70% load");
            rows.push_back({ .name = name,
                .value = product.slotImbalanceMean,
                .unit = "max/best",
                .bound = 1.20,
                .note = concat("consistent hashing ", consistent.slotImbalanceMean) });
            rows.push_back({ .name = concat(name, ", over consistent hashing"),
                .value = product.slotImbalanceMean / consistent.slotImbalanceMean,
                .unit = "ratio",
                .bound = 0.8,
                .note = "" });
            rows.push_back({ .name = concat(name, ", news 1 s old, over hashing"),
                .value = delayedReports.slotImbalanceMean / consistent.slotImbalanceMean,
                .unit = "ratio",
                .bound = 1.02,
                .note = "" });
            rows.push_back({ .name = concat(name, ", no news, over hashing"),
                .value = noReports.slotImbalanceMean / consistent.slotImbalanceMean,
                .unit = "ratio",
                .bound = 1.02,
                .note = "" });
            rows.push_back({ .name = concat(name, ", flows one hop away"),
                .value = product.remoteFlowShare,
                .unit = "share",
                .bound = 0.5,
                .note = "short flows" });
        }
    }

    /** Measures the mean time of one Steering::selectCandidates(), in seconds. */
    double measureRouteSeconds(const Steering& steering, const Configuration& configuration)
    {
        constexpr uint32_t packets = 400'000;
        ForwardedPacket forwarded;
        forwarded.candidates.reserve(maximumCandidates);
        size_t candidateCount = 0;
        const auto begin = std::chrono::steady_clock::now();
        for (uint32_t packet = 0; packet < packets; ++packet) {
            const ServiceRule& service = configuration.services[packet * 7919U % configuration.services.size()];
            forwarded.packet.flow = { { packet, 1000 }, service.address };
            (void)steering.selectCandidates(100s, service, forwarded);
            candidateCount += forwarded.candidates.size();
        }
        const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
        // The sum is used so that the compiler can't remove the loop.
        return candidateCount == 0 ? 0 : seconds / packets;
    }

    void addDecisionRows(std::vector<BenchRow>& rows)
    {
        constexpr uint32_t services = 1500;
        std::string rules;
        for (uint32_t index = 0; index < services; ++index) {
            appendText(rules, "service service-", index, " at ", formatAddress({ 0x0b000000 + index, 80 }), " # bench\nannounce service-", index, " in z # bench\n");
        }
        const Configuration configuration = parseRules(rules).configuration;
        double seconds[2] = {};
        const char* names[2] = { "product", "naive" };
        for (size_t policy = 0; policy < 2; ++policy) {
            const std::unique_ptr<Steering> steering = makeSteering(names[policy], "");
            for (uint32_t index = 0; index < services; ++index) {
                std::vector<MemberRecord> records;
                for (uint32_t agent = 0; agent < 12; ++agent) {
                    records.push_back({
                        .address = { 0x0a000000 + index * 12 + agent, 7000 },
                        .role = MemberRole::Agent,
                        .zone = "z",
                        .service = configuration.services[index].name,
                        .incarnation = 1,
                        .version = 1,
                        .state = MemberState::Ready,
                        .slots = 5,
                        .weight = 500,
                    });
                }
                steering->updateService(0s, configuration.services[index], configuration, records);
            }
            (void)measureRouteSeconds(*steering, configuration); // Warms up the caches.
            seconds[policy] = measureRouteSeconds(*steering, configuration);
        }
        rows.push_back({ .name = "decision per packet, 1,500 services, 18,000 endpoints, over modulo",
            .value = seconds[0] / seconds[1],
            .unit = "ratio",
            .bound = 3,
            .note = concat(seconds[0] * 1e9, " ns and ", seconds[1] * 1e9, " ns") });
    }

} // namespace

std::vector<BenchRow> benchSteering(unsigned seeds, const std::string& traces)
{
    std::vector<BenchRow> rows;
    addReplayRows(rows, seeds, traces);
    addFlowBalanceRows(rows, std::min(seeds, 8U));
    addSlotBalanceRows(rows, std::min(seeds, 8U));
    addDecisionRows(rows);
    return rows;
}

} // namespace lavender
