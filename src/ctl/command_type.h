/** @file command_type.h What the commands of lavenderctl have in common: exit codes, the parsed command line and the main loop. */
#pragma once

#include "core/time_type.h"

#include <gio/gio.h>

#include <string>
#include <vector>

namespace lavender {

// Exit codes of lavenderctl.
constexpr int exitDone = 0; ///< The command succeeded.
constexpr int exitRefused = 1; ///< The rules have faults or are missing, or another change came first.
constexpr int exitUsage = 2; ///< The command line is not valid.
constexpr int exitUnavailable = 3; ///< The store or a process did not answer; nothing was written.
constexpr int exitUnknown = 5; ///< It is unknown whether the change was written.

constexpr Duration storeTimeout = 2s; ///< For one call to the store.

/** The parsed command line. */
struct CommandLine {
    std::vector<std::string> arguments; ///< Command and its arguments, without the options.
    std::string storeUrl; ///< Empty if not given.
    std::string who; ///< Operator that is recorded with a change; empty if not given.
    bool isJson = false; ///< Print JSON.
    bool isDryRun = false; ///< Check a change without writing it.
};

/** Main loop that runs until a callback calls quit(). */
class MainLoop {
public:
    MainLoop()
        : loop(g_main_loop_new(nullptr, FALSE))
    {
    }
    ~MainLoop() { g_main_loop_unref(this->loop); }
    MainLoop(const MainLoop&) = delete;
    MainLoop& operator=(const MainLoop&) = delete;

    void run() { g_main_loop_run(this->loop); }
    void quit() { g_main_loop_quit(this->loop); }

private:
    GMainLoop* loop;
};

} // namespace lavender
