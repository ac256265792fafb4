/** @file follower_base.h Holds the configuration in force; its revision only rises. */
#pragma once

#include "config/rule_patch.h"
#include "config/rule_type.h"
#include "core/time_type.h"

#include <absl/status/status.h>

#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace lavender {

/** Follows the revisions of the configuration. */
class ConfigurationFollower {
public:
    /**
     * Puts a committed set of rules in force.
     * @return AlreadyExists where this revision or a later one is in force; InvalidArgument where the rules do not parse.
     */
    absl::Status offer(TimePoint now, Revision revision, std::string_view rules);

    /** The same for rules that came as a patch; DataLoss where it does not fit what is here: ask for the whole. */
    absl::Status offer(TimePoint now, Revision revision, const RulesPatch& patch);

    /** The rules in force as a patch for a process that has @p have; the whole where that is too old. */
    RulesPatch patchFrom(Revision have) const;

    const Configuration& current() const { return *this->configuration; }
    Revision revision() const { return this->configuration->revision; }
    bool hasAny() const { return this->configuration->revision != 0; }
    TimePoint inForceSince() const { return this->since; }

private:
    /** Rules that were in force, for patches. */
    struct PreviousRules {
        Revision revision = 0;
        std::string text;
    };

    std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
    TimePoint since {};
    std::deque<PreviousRules> previous; ///< Latest first.
};

} // namespace lavender
