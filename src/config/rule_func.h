/** @file rule_func.h Parsing and editing of the operators' rules; docs/RULES.md is the grammar. */
#pragma once

#include "config/rule_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/** A configuration, or all faults of its file. */
struct ParsedRules {
    Configuration configuration; ///< Complete only where faults is empty.
    std::vector<RuleFault> faults;
};

/** Parses a rules file whole; every fault is reported. */
ParsedRules parseRules(std::string_view text);

/** Writes faults as "FILE:LINE:COLUMN: TEXT", one a line. */
std::string formatFaults(std::string_view file, const std::vector<RuleFault>& faults);

/**
 * Sets a zone's state in a rules file: replaces the line of the zone or adds one; all other lines stay byte for byte.
 * @param who Who asked; becomes the line's comment.
 */
std::string withZone(std::string_view text, std::string_view zone, bool isOut, std::string_view who);

/** Adds or removes the drain rule of an agent; all other lines stay byte for byte. */
std::string withDrain(std::string_view text, Address agent, bool isDrained, std::string_view who);

} // namespace lavender
