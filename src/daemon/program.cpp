/** @file program.cpp Command line of the daemons, with Boost.Program_options. */
#include "daemon/program_func.h"

#include "core/text_func.h"
#include "daemon/log_func.h"
#include "daemon/process_base.h"
#include "settings/setting_func.h"

#include <csignal>
#include <ctime>
#include <pthread.h>

#include <boost/program_options.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace lavender {

namespace {

    namespace options = boost::program_options;

    constexpr timespec retryPeriod { .tv_sec = 0, .tv_nsec = 100'000'000 }; ///< Between two attempts to bind an address that is in use.

    constexpr std::string_view exitCodeHelp = "\nExit codes: 0 stopped on request, 2 invalid command line or settings, 3 an address cannot be bound (one that is in use is waited for),\n"
                                              "4 stopped with open work left (second signal, or the drain time ran out).\n"
                                              "Signals: SIGTERM and SIGINT stop gracefully; a second one ends the process at once.\n"
                                              "SIGHUP reads the settings file again.\n";

    /** Waits for the time between two attempts. @return True if SIGTERM came, which is held back. */
    bool hasStopSignalCome()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        return sigtimedwait(&signals, nullptr, &retryPeriod) == SIGTERM;
    }

    /** Runs a daemon; one whose address is in use begins again, as the process that has it may be about to stop. */
    int runOnceAddressIsFree(const std::function<int()>& run)
    {
        for (;;) {
            const int code = run();
            if (code != static_cast<int>(ExitCode::AddressInUse)) {
                return code;
            }
            if (hasStopSignalCome()) {
                return static_cast<int>(ExitCode::Done);
            }
        }
    }

} // namespace

void holdSignals(bool areHeld)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(areHeld ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

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

bool reloadSettings(const SettingTable& table, const std::string& path, std::string& text)
{
    std::string newText;
    if (path == "-" || !readFile(path, newText)) {
        logWarning("settings-refused", concat(path, ": settings file cannot be read again"));
        return false;
    }
    const absl::StatusOr<SettingValues> newValues = parseSettings(table, newText);
    if (!newValues.ok()) {
        logWarning("settings-refused", std::string(newValues.status().message()));
        return false;
    }
    for (const std::string& setting : changesNeedingRestart(table, *parseSettings(table, text), *newValues)) {
        logWarning("settings-need-restart", setting);
    }
    logInfo("settings-reread", path);
    text = std::move(newText);
    return true;
}

int runProgram(int argc, char** argv, const SettingTable& table, const std::function<std::string(const std::string&)>& check, const std::function<int(const std::string& text, const std::string& path)>& run)
{
    holdSignals(true); // Until Process::run() handles them: their default is to end the process without a word.
    constexpr int usage = static_cast<int>(ExitCode::Usage);
    options::options_description description(concat("Usage: ", table.program, " --config FILE\n\nOptions"));
    description.add_options()("help", "print this text")("version", "print the version")("config", options::value<std::string>(), "settings file, JSON; - reads standard input")("check-config", "check the settings, print their faults and exit");
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
        std::cerr << table.program << ": --config: missing: expected the path of a settings file\n";
        return usage;
    }
    const std::string path = values["config"].as<std::string>();
    std::string text;
    if (!readFile(path, text)) {
        std::cerr << table.program << ": " << path << ": settings file cannot be read\n";
        return usage;
    }
    const std::string faults = check(text);
    if (!faults.empty()) {
        for (std::string_view fault : splitText(faults, '\n')) {
            std::cerr << path << ": " << fault << "\n";
        }
        return usage;
    }
    return values.count("check-config") != 0 ? 0 : runOnceAddressIsFree([&] { return run(text, path); });
}

} // namespace lavender
