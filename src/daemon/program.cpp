/** @file program.cpp Boost.Program_options for the daemons. */
#include "daemon/program_func.h"

#include "core/text_func.h"
#include "daemon/log_func.h"
#include "daemon/process_base.h"
#include "settings/setting_func.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace lavender {

namespace {

    namespace options = boost::program_options;

    constexpr std::string_view exitCodeHelp = "\nExit codes: 0 stopped as asked, 2 wrong command line or settings, 3 address cannot be bound,\n"
                                              "4 stopped with work left (second signal, or the drain time ran out).\n"
                                              "Signals: SIGTERM and SIGINT stop gracefully; a second one ends at once.\n";

} // namespace

bool readFile(const std::string& path, std::string& text)
{
    if (path == "-") {
        text.assign(std::istreambuf_iterator<char>(std::cin), {});
        return true;
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return false;
    }
    text.assign(std::istreambuf_iterator<char>(file), {});
    return true;
}

bool rereadSettings(const SettingTable& table, const std::string& path, std::string& text)
{
    std::string fresh;
    if (path == "-" || !readFile(path, fresh)) {
        logWarning("settings-refused", concat(path, ": cannot be read again"));
        return false;
    }
    const absl::StatusOr<SettingValues> after = parseSettings(table, fresh);
    if (!after.ok()) {
        logWarning("settings-refused", std::string(after.status().message()));
        return false;
    }
    for (const std::string& setting : fixedChanges(table, *parseSettings(table, text), *after)) {
        logWarning("settings-need-restart", setting);
    }
    logInfo("settings-reread", path);
    text = std::move(fresh);
    return true;
}

int runProgram(int argc, char** argv, const SettingTable& table, const std::function<std::string(const std::string&)>& check, const std::function<int(const std::string& text, const std::string& path)>& run)
{
    constexpr int usage = static_cast<int>(ExitCode::Usage);
    options::options_description description(concat("Usage: ", table.program, " --config FILE\n\nOptions"));
    description.add_options()("help", "print this text")("version", "print the version")("config", options::value<std::string>(), "settings, a JSON file; - is standard input")("check-config", "check the settings and end");
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv).options(description).run(), values);
    } catch (const options::error& error) {
        std::cerr << table.program << ": " << error.what() << "\n";
        return usage;
    }
    if (values.count("help") != 0) {
        std::cout << description << exitCodeHelp << "\n"
                  << formatSettingTable(table);
        return 0;
    }
    if (values.count("version") != 0) {
        std::cout << table.program << " " << programVersion << "\n";
        return 0;
    }
    if (values.count("config") == 0) {
        std::cerr << table.program << ": --config: missing: expected a settings file\n";
        return usage;
    }
    const std::string path = values["config"].as<std::string>();
    std::string text;
    if (!readFile(path, text)) {
        std::cerr << table.program << ": " << path << ": cannot be read\n";
        return usage;
    }
    const std::string faults = check(text);
    if (!faults.empty()) {
        for (std::string_view fault : splitText(faults, '\n')) {
            std::cerr << path << ": " << fault << "\n";
        }
        return usage;
    }
    return values.count("check-config") != 0 ? 0 : run(text, path);
}

} // namespace lavender
