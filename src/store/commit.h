/** @file commit.h Commits rules to the store so that a lost answer or a race is told apart from a success. */
#pragma once

#include "config/rule_cmd.h"
#include "core/random_base.h"
#include "store/store_base.h"

#include <functional>
#include <memory>
#include <string>

namespace lavender {

/** How a commit ended. */
enum class CommitOutcome : uint8_t {
    Committed, ///< The rules are in the store.
    Unchanged, ///< The store has these very rules already.
    Refused, ///< The command does not fit the rules; nothing was written.
    Raced, ///< Another change came first; nothing was written.
    Unavailable, ///< The store did not answer; nothing was written.
    Unknown, ///< The store stopped answering after the write was sent: it may have taken effect.
};

struct CommitResult {
    CommitOutcome outcome = CommitOutcome::Unknown;
    Revision revision = 0; ///< Revision of the rules, where known.
    std::vector<std::string> warnings;
    std::string detail; ///< What went wrong, for the operator.
};

/** Waits; the caller of the library decides how. */
using Delay = std::function<void(Duration, std::function<void()>)>;

/**
 * Reads the rules, tests the command on them, and writes the outcome if nobody else wrote in between.
 * @param change Id of this change, unique.
 * @param isDryRun Stops before the write.
 */
void commitCommand(Store& store, const RuleCommand& command, const std::string& change, bool isDryRun, Delay delay, std::function<void(CommitResult)> done);

} // namespace lavender
