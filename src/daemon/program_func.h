/** @file program_func.h The command line that both daemons have. */
#pragma once

#include "settings/setting_type.h"

#include <functional>
#include <string>
#include <string_view>

namespace lavender {

constexpr std::string_view programVersion = "0.1.0";

/** Reads a whole file, or standard input for "-". @return False where it cannot be read. */
bool readFile(const std::string& path, std::string& text);

/**
 * Reads a settings file again for a running process.
 * @param text What the file held before; replaced where the new one is right.
 * @return True where @p text was replaced; faults and settings that need a restart are logged.
 */
bool rereadSettings(const SettingTable& table, const std::string& path, std::string& text);

/**
 * Handles --help, --version, --config and --check-config.
 * @param check Parses the settings; returns the faults, or nothing where there are none.
 * @param run Runs the daemon with the text of its settings.
 * @return Exit code of the process.
 */
int runProgram(int argc, char** argv, const SettingTable& table, const std::function<std::string(const std::string&)>& check, const std::function<int(const std::string& text, const std::string& path)>& run);

} // namespace lavender
