/** @file setting_type.h The settings of each program, described once. */
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace lavender {

/** What a setting holds. */
enum class SettingKind : uint8_t {
    Name, ///< a-z, 0-9 and -.
    AddressText, ///< A.B.C.D:PORT
    AddressList, ///< JSON array of addresses.
    Url, ///< http://A.B.C.D:PORT
    Number, ///< Whole number within bounds.
    Choice, ///< One of the words in SettingDescription::choices, separated by '|'.
};

/** One setting: parsing, checks, help and docs/SETTINGS.md come from here. */
struct SettingDescription {
    std::string_view path; ///< JSON pointer, as "/listen/port".
    SettingKind kind;
    std::string_view fallback; ///< Value where the file has none; empty and required: must be there.
    bool isRequired;
    int64_t low; ///< For numbers.
    int64_t high; ///< For numbers.
    std::string_view choices; ///< For choices.
    std::string_view help;
    bool isReloadable = false; ///< Taken anew at SIGHUP; the others need a restart.
    std::string_view requiredWith = {}; ///< Must be there where this setting is.
    std::string_view requiredWithout = {}; ///< Must be there where this setting is not.
};

/** All settings of one program. */
struct SettingTable {
    std::string_view program;
    std::span<const SettingDescription> settings;
};

extern const SettingTable balancerSettingTable;
extern const SettingTable agentSettingTable;

} // namespace lavender
