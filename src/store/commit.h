/** @file commit.h Commits a rule command to the store by compare-and-swap; lost answers and races are detected. */
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
    Committed, ///< The new rules are in the store; after a dry run, nothing was written.
    Unchanged, ///< The command changes nothing: the store already holds the resulting rules.
    Refused, ///< The command cannot be applied to the stored rules; nothing was written.
    Raced, ///< Another change was written between read and write; this one was not written.
    Unavailable, ///< The store did not answer the first read; nothing was written.
    Unknown, ///< The write was sent, but it could not be read whether it took effect; it may still do so later.
};

/** Outcome of a commit, and what to tell the operator about it. */
struct CommitResult {
    CommitOutcome outcome = CommitOutcome::Unknown;
    StorePosition position; ///< Last write of the rules in the store; not valid if not known.
    std::vector<std::string> warnings; ///< RuleOutcome::warnings of the command.
    std::string detail; ///< Explanation of the outcome for the operator; may be empty.
};

/** Runs a function after a delay, with the timers of the program that uses the library. */
using Delay = std::function<void(Duration, std::function<void()>)>;

/**
 * Reads the rules, applies the command, and writes the result if the rules have not changed since the read.
 * @param store Must outlive the commit.
 * @param change Unique id of this change, stored with the rules; it identifies the write if its answer is lost.
 * @param isDryRun Stops before the write.
 * @param done Called once.
 */
void commitCommand(Store& store, const RuleCommand& command, const std::string& change, bool isDryRun, Delay delay, std::function<void(CommitResult)> done);

} // namespace lavender
