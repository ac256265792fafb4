/** @file replay_main.cpp lavender-replay: replays a trace in a simulated world and checks the figures that it expects. */
#include "core/text_func.h"
#include "daemon/program_func.h"
#include "replay/figure_func.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <iostream>
#include <map>

namespace lavender {

namespace {

    namespace options = boost::program_options;

    constexpr int exitOutcomesHold = 0;
    constexpr int exitOutcomeFails = 1;
    constexpr int exitBadTrace = 2;

    const std::map<std::string, ReplayPolicy>& policies()
    {
        static const std::map<std::string, ReplayPolicy> table {
            { "product", { "product", true } },
            { "naive", { "naive", false } },
            { "hash", { "hash", false } },
        };
        return table;
    }

    std::string figureName(const TraceExpectation& expectation)
    {
        return expectation.subject.empty() ? expectation.figure : concat(expectation.figure, ":", expectation.subject);
    }

    std::string formatNumber(double value)
    {
        return std::isnan(value) ? "missing" : fmt::format("{:.6g}", value);
    }

    void printText(const Figures& figures, const std::vector<FailedExpectation>& failed, size_t expectationCount)
    {
        for (const auto& [name, value] : figures) {
            std::cout << name << " " << formatNumber(value) << "\n";
        }
        for (const FailedExpectation& entry : failed) {
            std::cout << "FAILED line " << entry.expectation.line << ": " << figureName(entry.expectation) << " is " << formatNumber(entry.value)
                      << ": expected " << (entry.expectation.isUpperBound ? "at most " : "at least ") << formatNumber(entry.expectation.bound) << "\n";
            for (const std::string& detail : entry.cases) {
                std::cout << "    " << detail << "\n";
            }
        }
        std::cout << expectationCount - failed.size() << " of " << expectationCount << " outcomes hold\n";
    }

    void printJson(const Figures& figures, const std::vector<FailedExpectation>& failed)
    {
        nlohmann::ordered_json json { { "ok", failed.empty() }, { "figures", figures }, { "failed", nlohmann::ordered_json::array() } };
        for (const FailedExpectation& entry : failed) {
            json["failed"].push_back({
                { "line", entry.expectation.line },
                { "figure", figureName(entry.expectation) },
                { "value", entry.value },
                { "bound", entry.expectation.bound },
                { "is_upper_bound", entry.expectation.isUpperBound },
                { "cases", entry.cases },
            });
        }
        std::cout << json.dump(2) << "\n";
    }

    int replay(const std::string& path, uint64_t seed, const ReplayPolicy& policy, const std::string& watchedFlow, bool isJson)
    {
        std::string text;
        if (!readFile(path, text)) {
            std::cerr << "lavender-replay: " << path << ": cannot be read\n";
            return exitBadTrace;
        }
        const absl::StatusOr<Trace> trace = parseTrace(text);
        if (!trace.ok()) {
            std::cerr << path << ": " << trace.status().message() << "\n";
            return exitBadTrace;
        }
        World world(*trace, policy, seed);
        world.watchFlow(watchedFlow);
        world.run();
        const Figures figures = collectFigures(world);
        const std::vector<FailedExpectation> failed = checkExpectations(*trace, figures, world);
        isJson ? printJson(figures, failed) : printText(figures, failed, trace->expectations.size());
        return failed.empty() ? exitOutcomesHold : exitOutcomeFails;
    }

} // namespace

} // namespace lavender

int main(int argc, char** argv)
{
    using namespace lavender; // NOLINT(google-build-using-namespace): the program's only function
    std::string path;
    std::string policy;
    std::string watchedFlow;
    uint64_t seed = 1;
    bool isJson = false;
    options::options_description visible("Usage: lavender-replay TRACE [OPTIONS]\n\nOptions");
    visible.add_options()("help", "print this text")("version", "print the version")("seed", options::value(&seed)->default_value(1), "seed of the random numbers; the same trace and seed give the same output")("policy", options::value(&policy)->default_value("product"), "product, naive (modulo, no chaining) or hash (consistent hashing, no chaining)")("watch", options::value(&watchedFlow), "print every message about this flow, as 10.0.0.1:1234>10.20.0.1:80, to standard error")("json", options::bool_switch(&isJson), "print JSON");
    options::options_description all;
    all.add(visible).add_options()("trace", options::value(&path));
    options::positional_options_description positions;
    positions.add("trace", 1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "lavender-replay: " << error.what() << "\n";
        return exitBadTrace;
    }
    if (values.count("help") != 0) {
        std::cout << visible << "\nExit codes: 0 all expected outcomes hold, 1 at least one does not, 2 bad trace or command line. docs/TRACES.md specifies the format.\n";
        return exitOutcomesHold;
    }
    if (values.count("version") != 0) {
        std::cout << "lavender-replay " << programVersion << "\n";
        return exitOutcomesHold;
    }
    const auto chosen = policies().find(policy);
    if (path.empty() || chosen == policies().end()) {
        std::cerr << "lavender-replay: " << (path.empty() ? "no trace given" : "--policy: expected product, naive or hash") << "; see --help\n";
        return exitBadTrace;
    }
    return replay(path, seed, chosen->second, watchedFlow, isJson);
}
