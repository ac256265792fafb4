/** @file steering_bench.cpp The table of tools/bench steering. */
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

    /** Runs a function for each seed, as many at once as the machine has cores, and returns the results in order. */
    template <typename Function>
    auto forEachSeed(unsigned seeds, const Function& function)
    {
        using Result = decltype(function(uint64_t {}));
        std::vector<Result> results(seeds);
        std::vector<std::future<void>> workers;
        const unsigned width = std::max(1U, std::thread::hardware_concurrency());
        for (unsigned worker = 0; worker < width; ++worker) {
            workers.push_back(std::async(std::launch::async, [&, worker] {
                for (unsigned seed = worker; seed < seeds; seed += width) {
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

    /** Highest value of a figure over the seeds, and the sum. */
    struct FigureSpan {
        double highest = 0;
        double sum = 0;
    };

    FigureSpan replayFigure(const std::string& path, const std::string& figure, unsigned seeds, const ReplayPolicy& policy = {})
    {
        const Trace trace = loadTrace(path);
        const std::vector<double> values = forEachSeed(seeds, [&](uint64_t seed) {
            World world(trace, policy, seed);
            world.run();
            return collectFigures(world)[figure];
        });
        FigureSpan span;
        for (double value : values) {
            span.highest = std::max(span.highest, value);
            span.sum += value;
        }
        return span;
    }

    void addBrokenRows(std::vector<BenchRow>& rows, unsigned seeds, const std::string& traces)
    {
        for (const char* name : { "wrekin-balancers", "wrekin-upstreams", "krojac-rolling", "krojac-store" }) {
            const std::string path = concat(traces, "/", name, ".jsonl");
            const double product = replayFigure(path, "broken_flows", seeds).sum;
            const double hash = replayFigure(path, "broken_flows", 1, { "hash", false }).sum;
            const double modulo = replayFigure(path, "broken_flows", 1, { "naive", false }).sum;
            rows.push_back({ concat("broken flows, planned changes: ", name), product, "flows", 0, false, concat("seeds 1..", seeds, "; seed 1 alone: consistent hashing ", hash, ", modulo ", modulo) });
        }
        const std::string zone = concat(traces, "/krojac-zone.jsonl");
        rows.push_back({ "last packet into a zone after its rule is committed", replayFigure(zone, "quiet_ms:hr-north-c", seeds).highest, "ms", 2000, false, concat("5% control loss, highest of seeds 1..", seeds) });
        rows.push_back({ "extra hops per packet of a flow, nothing changes", replayFigure(concat(traces, "/wrekin-steady.jsonl"), "extra_hops", seeds).highest, "hops", 0.05, false, "long and short flows" });
        rows.push_back({ "extra hops per packet of a flow, rolling replacement", replayFigure(concat(traces, "/krojac-rolling.jsonl"), "extra_hops", std::min(seeds, 20U)).highest, "hops", 0.5, false, "" });
    }

    PlacementResult averagePlacement(PlacementScene scene, unsigned seeds)
    {
        const std::vector<PlacementResult> results = forEachSeed(seeds, [&](uint64_t seed) {
            PlacementScene run = scene;
            run.seed = seed;
            return runPlacement(run);
        });
        PlacementResult mean;
        for (const PlacementResult& result : results) {
            mean.flowsMean += result.flowsMean / seeds;
            mean.flowsQuantile99 += result.flowsQuantile99 / seeds;
            mean.slotsMean += result.slotsMean / seeds;
            mean.movedShare += result.movedShare / seeds;
        }
        return mean;
    }

    void addFlowBalanceRows(std::vector<BenchRow>& rows, unsigned seeds)
    {
        PlacementScene scene;
        const PlacementResult product = averagePlacement(scene, seeds);
        scene.newsDelay = 1s;
        const PlacementResult old = averagePlacement(scene, seeds);
        scene.hasNews = false;
        const PlacementResult missing = averagePlacement(scene, seeds);
        scene.steering = "hash";
        const PlacementResult hash = averagePlacement(scene, seeds);
        scene.steering = "naive";
        const PlacementResult modulo = averagePlacement(scene, seeds);
        const std::string compared = concat("consistent hashing ", hash.flowsMean, ", modulo ", modulo.flowsMean);
        rows.push_back({ "imbalance of flows held, 7 upstreams, average", product.flowsMean, "max/mean", 1.02, false, compared });
        rows.push_back({ "imbalance of flows held, 7 upstreams, 99th percentile", product.flowsQuantile99, "max/mean", 1.05, false, "" });
        rows.push_back({ "the same over the better naive version", product.flowsMean / std::min(hash.flowsMean, modulo.flowsMean), "ratio", 1, false, "" });
        rows.push_back({ "flows that live one hop away", product.movedShare, "share", -1, false, "" });
        rows.push_back({ "news 1 s old, over consistent hashing", old.flowsMean / hash.flowsMean, "ratio", 1.02, false, "" });
        rows.push_back({ "no news, over consistent hashing", missing.flowsMean / hash.flowsMean, "ratio", 1.02, false, "" });
    }

    void addSlotBalanceRows(std::vector<BenchRow>& rows, unsigned seeds)
    {
        for (const uint16_t slots : { uint16_t { 5 }, uint16_t { 8 } }) {
            PlacementScene scene { .slots = slots, .flowTime = 100ms, .hasRequests = true };
            scene.flowsPerSecond = 0.7 * slots * scene.agents / 0.1;
            const PlacementResult product = averagePlacement(scene, seeds);
            scene.newsDelay = 1s;
            const PlacementResult old = averagePlacement(scene, seeds);
            scene.hasNews = false;
            const PlacementResult missing = averagePlacement(scene, seeds);
            scene.steering = "hash";
            const PlacementResult hash = averagePlacement(scene, seeds);
            const std::string name = concat("imbalance of slots in use, 7 x ", slots, ", 70% load");
            rows.push_back({ name, product.slotsMean, "max/best", 1.20, false, concat("consistent hashing ", hash.slotsMean) });
            rows.push_back({ concat(name, ", over consistent hashing"), product.slotsMean / hash.slotsMean, "ratio", 0.8, false, "" });
            rows.push_back({ concat(name, ", news 1 s old, over hashing"), old.slotsMean / hash.slotsMean, "ratio", 1.02, false, "" });
            rows.push_back({ concat(name, ", no news, over hashing"), missing.slotsMean / hash.slotsMean, "ratio", 1.02, false, "" });
            rows.push_back({ concat(name, ", flows one hop away"), product.movedShare, "share", 0.5, false, "short flows" });
        }
    }

    double routeSeconds(const Steering& steering, const Configuration& configuration)
    {
        constexpr uint32_t packets = 400'000;
        ForwardedPacket forwarded;
        forwarded.candidates.reserve(maximumCandidates);
        size_t sink = 0;
        const auto begin = std::chrono::steady_clock::now();
        for (uint32_t packet = 0; packet < packets; ++packet) {
            const ServiceRule& service = configuration.services[packet * 7919U % configuration.services.size()];
            forwarded.packet.flow = { { packet, 1000 }, service.address };
            (void)steering.route(100s, service, forwarded);
            sink += forwarded.candidates.size();
        }
        const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
        return sink == 0 ? 0 : seconds / packets;
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
        for (size_t which = 0; which < 2; ++which) {
            const std::unique_ptr<Steering> steering = makeSteering(names[which], "");
            for (uint32_t index = 0; index < services; ++index) {
                std::vector<MemberRecord> records;
                for (uint32_t agent = 0; agent < 12; ++agent) {
                    records.push_back({ .address = { 0x0a000000 + index * 12 + agent, 7000 }, .role = MemberRole::Agent, .zone = "z", .service = configuration.services[index].name, .incarnation = 1, .version = 1, .state = MemberState::Ready, .slots = 5, .weight = 500 });
                }
                steering->update(0s, configuration.services[index], configuration, records);
            }
            (void)routeSeconds(*steering, configuration);
            seconds[which] = routeSeconds(*steering, configuration);
        }
        rows.push_back({ "decision per packet, 1,500 services, 18,000 endpoints, over modulo", seconds[0] / seconds[1], "ratio", 3, false, concat(seconds[0] * 1e9, " ns and ", seconds[1] * 1e9, " ns") });
    }

} // namespace

std::vector<BenchRow> benchSteering(unsigned seeds, const std::string& traces)
{
    std::vector<BenchRow> rows;
    addBrokenRows(rows, seeds, traces);
    addFlowBalanceRows(rows, std::min(seeds, 8U));
    addSlotBalanceRows(rows, std::min(seeds, 8U));
    addDecisionRows(rows);
    return rows;
}

} // namespace lavender
