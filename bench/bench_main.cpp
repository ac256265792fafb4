/** @file bench_main.cpp Command line of lavender-bench: runs one benchmark and prints its rows as text or JSON. */
#include "bench_type.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

#include <boost/program_options.hpp>

namespace {

namespace options = boost::program_options;
using lavender::BenchRow;

std::string verdict(const BenchRow& row)
{
    return row.bound < 0 ? "reported" : (row.isWithinBound() ? "ok" : "SHORT");
}

void printText(const std::vector<BenchRow>& rows)
{
    for (const BenchRow& row : rows) {
        const std::string bound = row.bound < 0 ? "" : fmt::format("{} {:.6g}", row.isLowerBound ? ">=" : "<=", row.bound);
        std::cout << fmt::format("{:9}{:62}{:>12.6g} {:10}{:14}{}\n", verdict(row), row.name, row.value, row.unit, bound, row.note);
    }
}

void printJson(const std::vector<BenchRow>& rows)
{
    nlohmann::ordered_json json { { "rows", nlohmann::ordered_json::array() } };
    for (const BenchRow& row : rows) {
        nlohmann::ordered_json bound = row.bound < 0 ? nlohmann::ordered_json() : nlohmann::ordered_json(row.bound);
        json["rows"].push_back({
            { "name", row.name },
            { "value", row.value },
            { "unit", row.unit },
            { "bound", bound },
            { "is_lower_bound", row.isLowerBound },
            { "ok", row.isWithinBound() },
            { "note", row.note },
        });
    }
    std::cout << json.dump(2) << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    std::string benchmark;
    std::string traces;
    unsigned seeds = 20;
    bool isJson = false;
    options::options_description description("Usage: lavender-bench capacity|steering [OPTIONS]\n\nOptions");
    // The empty comments keep one option on each line.
    description.add_options() //
        ("help", "print this text") //
        ("table", options::value(&benchmark), "benchmark to run: capacity or steering") //
        ("seeds", options::value(&seeds)->default_value(20), "number N of seeds: simulations run with seeds 1 to N") //
        ("traces", options::value(&traces)->default_value("traces"), "folder of the traces to replay") //
        ("json", options::bool_switch(&isJson), "print JSON instead of text");
    options::positional_options_description positions;
    positions.add("table", 1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv).options(description).positional(positions).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "lavender-bench: " << error.what() << "\n";
        return 2;
    }
    if (values.count("help") != 0 || (benchmark != "capacity" && benchmark != "steering")) {
        std::cout << description << "\nExit codes: 0 all rows within their bounds, 1 a row outside its bound, 2 wrong command line.\n";
        return values.count("help") != 0 ? 0 : 2;
    }
    const std::vector<BenchRow> rows = benchmark == "capacity" ? lavender::benchCapacity() : lavender::benchSteering(seeds, traces);
    isJson ? printJson(rows) : printText(rows);
    return std::all_of(rows.begin(), rows.end(), [](const BenchRow& row) { return row.isWithinBound(); }) ? 0 : 1;
}
