/** @file rule_func.h Parsing and editing of the operators' rules; docs/RULES.md is the grammar. */
#pragma once

#include "config/rule_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/** Result of parsing a rules file: the configuration, or all faults of the file. */
struct ParsedRules {
    Configuration configuration; ///< Complete only if faults is empty.
    std::vector<RuleFault> faults;
};

/** Parses a whole rules file. Continues after a fault, so that all faults are reported at once. */
ParsedRules parseRules(std::string_view text);

/** Formats faults as "FILE:LINE:COLUMN: TEXT", one per line. */
std::string formatFaults(std::string_view file, const std::vector<RuleFault>& faults);

/**
 * Takes an availability zone out of service or puts it back in: replaces the zone rule in a rules file or appends one. All
 * other lines stay byte for byte.
 * @param who Name of the requester; becomes the comment of the rule.
 * @return The changed file.
 */
std::string withZone(std::string_view text, std::string_view zone, bool isOut, std::string_view who);

/**
 * Adds or removes the drain rule of an agent in a rules file. All other lines stay byte for byte.
 * @param who Name of the requester; becomes the comment of the rule.
 * @return The changed file.
 */
std::string withDrain(std::string_view text, Address agent, bool isDrained, std::string_view who);

} // namespace lavender
