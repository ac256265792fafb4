/** @file rule_cmd.h Changes of the operators' rules as commands with a test pass and an execute pass. */
#pragma once

#include "config/rule_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/** What a command does to the rules. */
enum class RuleCommandKind : uint8_t {
    Replace, ///< Puts another file in their place.
    ZoneOut,
    ZoneIn,
    Drain,
    Undrain,
};

/** One change that an operator asks for. */
struct RuleCommand {
    RuleCommandKind kind = RuleCommandKind::Replace;
    std::string text; ///< The new file, for Replace.
    std::string zone; ///< For ZoneOut and ZoneIn.
    Address agent; ///< For Drain and Undrain.
    std::string who; ///< Who asked.
};

/** What a command would do, or did. */
struct RuleOutcome {
    std::string text; ///< The rules after it.
    std::vector<std::string> warnings; ///< What the operator may not have meant.
};

/**
 * The test pass: the rules that the command makes of @p current. The execute pass commits just this outcome, so that a
 * dry run shows what a run does.
 * @return InvalidArgument where the result does not parse or the command names what the rules do not have.
 */
absl::StatusOr<RuleOutcome> testCommand(std::string_view current, const RuleCommand& command);

} // namespace lavender
