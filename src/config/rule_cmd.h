/** @file rule_cmd.h Commands that change the operators' rules: a test pass, then an execute pass that commits its result. */
#pragma once

#include "config/rule_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/** What a command does to the rules. */
enum class RuleCommandKind : uint8_t {
    Replace, ///< Replaces the whole rules file.
    ZoneOut, ///< Takes an availability zone out of service.
    ZoneIn, ///< Puts an availability zone back in service.
    Drain, ///< Drains the upstream of one agent.
    Undrain, ///< Ends the drain of one agent.
};

/** One change that an operator requests. */
struct RuleCommand {
    RuleCommandKind kind = RuleCommandKind::Replace;
    std::string text; ///< New rules file; for Replace.
    std::string zone; ///< For ZoneOut and ZoneIn.
    Address agent; ///< For Drain and Undrain.
    std::string who; ///< Name of the requester on one line, for the comment of the rule; may be empty for Replace.
};

/** Result of the test pass of a command. */
struct RuleOutcome {
    std::string text; ///< Rules file after the command.
    std::vector<std::string> warnings; ///< Likely mistakes in the resulting rules; they do not prevent the command.
};

/**
 * Test pass of a command: applies it to the rules file @p current without storing anything. The execute pass commits this
 * outcome unchanged, so that a dry run shows exactly what a real run does.
 * @return InvalidArgument if the resulting rules do not parse, the rules do not name the zone, or the requester is missing or longer than one line.
 */
absl::StatusOr<RuleOutcome> testCommand(std::string_view current, const RuleCommand& command);

} // namespace lavender
