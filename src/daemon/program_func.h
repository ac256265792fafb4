/** @file program_func.h Command line and reload of settings, the same for both daemons. */
#pragma once

#include "settings/setting_type.h"

#include <functional>
#include <string>
#include <string_view>

namespace lavender {

constexpr std::string_view programVersion = "0.1.0";

/** Holds SIGTERM and SIGHUP back, or lets them through, also those that came in the meantime. */
void holdSignals(bool areHeld);

/** Reads a whole file, or standard input for "-". @return False if the file cannot be opened. */
bool readFile(const std::string& path, std::string& text);

/**
 * Reads the settings file of a running process again.
 *
 * Logs why a new file is refused, and each changed setting that takes effect only after a restart.
 * @param path Path of the file; standard input ("-") cannot be read again and is refused.
 * @param text Content in force; replaced by that of the file if the new settings are valid.
 * @return True if @p text was replaced.
 */
bool reloadSettings(const SettingTable& table, const std::string& path, std::string& text);

/**
 * Main function of a daemon: handles --help, --version, --config and --check-config, then runs the daemon.
 * @param check Parses the settings; returns the faults, one a line, or an empty text if there are none.
 * @param run Runs the daemon with the text of its settings file and the path of it; returns the exit code.
 * @return Exit code of the process.
 */
int runProgram(int argc, char** argv, const SettingTable& table, const std::function<std::string(const std::string&)>& check, const std::function<int(const std::string& text, const std::string& path)>& run);

} // namespace lavender
