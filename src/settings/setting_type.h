/** @file setting_type.h Descriptions of the settings of each program. */
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace lavender {

/** Kind of value that a setting holds. */
enum class SettingKind : uint8_t {
    Name, ///< Name of a service or zone: a-z, 0-9 and -.
    AddressText, ///< An address "A.B.C.D:PORT".
    AddressList, ///< JSON array of addresses.
    Url, ///< "http://A.B.C.D:PORT".
    Number, ///< Integer in [minimum, maximum].
    Decimal, ///< Number in [minimum, maximum], with or without a fraction.
    Choice, ///< One of SettingDescription::choices.
};

/** Description of one setting, used for parsing, checks, --help and docs/SETTINGS.md. */
struct SettingDescription {
    std::string_view path; ///< JSON pointer to the value, such as "/store/url".
    SettingKind kind = SettingKind::Name;
    std::string_view defaultValue = {}; ///< Value if the file has none, as text or JSON; empty if there is no default.
    bool isRequired = false; ///< True if the file must have the setting.
    int64_t minimum = 0; ///< For SettingKind::Number and SettingKind::Decimal, inclusive.
    int64_t maximum = 0; ///< For SettingKind::Number and SettingKind::Decimal, inclusive.
    std::string_view choices = {}; ///< For SettingKind::Choice: the valid words, separated by '|'.
    std::string_view help; ///< One line that says what the setting does.
    bool isReloadable = false; ///< True if SIGHUP puts a new value in force; others take a restart.
    std::string_view requiredWith = {}; ///< Path of a setting; if the file has that one, it must have this one too.
    std::string_view requiredWithout = {}; ///< Path of a setting; if the file lacks that one, it must have this one.
};

/** The settings of one program. */
struct SettingTable {
    std::string_view program;
    std::span<const SettingDescription> settings;
};

extern const SettingTable balancerSettingTable;
extern const SettingTable agentSettingTable;

} // namespace lavender
