/** @file follower_base.h The configuration in force; its revision only rises. */
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

/** Holds the configuration in force and replaces it by later revisions. */
class ConfigurationFollower {
public:
    /**
     * Puts a committed revision of the rules in force.
     * @return AlreadyExists if this revision or a later one is in force; InvalidArgument if the rules do not parse.
     */
    absl::Status applyIfNewer(TimePoint now, const Revision& revision, std::string_view rules);

    /**
     * Puts a revision that is received as a patch in force.
     * @return Errors of the overload for whole rules; DataLoss if the patch does not apply to the rules in force: the whole
     * text must be fetched then.
     */
    absl::Status applyIfNewer(TimePoint now, const Revision& revision, const RulesPatch& patch);

    /** Patch from revision @p have to the rules in force; it holds the whole text if @p have is not remembered. */
    RulesPatch patchFrom(const Revision& have) const;

    const Configuration& current() const { return *this->configuration; }
    const Revision& revision() const { return this->configuration->revision; }
    bool hasRules() const { return this->configuration->revision.isValid(); }
    TimePoint inForceSince() const { return this->since; }

private:
    /** Earlier rules, from which patchFrom() makes patches. */
    struct PreviousRules {
        Revision revision;
        std::string text;
    };

    std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
    TimePoint since {}; ///< When the current revision came into force.
    std::deque<PreviousRules> previousRules; ///< Latest first.
};

} // namespace lavender
