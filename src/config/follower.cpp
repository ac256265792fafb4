/** @file follower.cpp Accepts only revisions above the one in force. */
#include "config/follower_base.h"

#include "config/rule_func.h"
#include "core/text_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr size_t maximumPreviousRules = 2; ///< Few, because each entry is as large as the rules.

} // namespace

absl::Status ConfigurationFollower::applyIfNewer(TimePoint now, const Revision& revision, std::string_view rules)
{
    // Answers of the store or a peer may arrive late, so the revision decides, not the order of arrival.
    if (revision <= this->configuration->revision) {
        return absl::AlreadyExistsError(
            concat("revision ", formatRevision(revision), " is not later than revision ", formatRevision(this->configuration->revision), ", which is in force"));
    }
    ParsedRules parsed = parseRules(rules);
    if (!parsed.faults.empty()) {
        return absl::InvalidArgumentError(formatFaults("rules", parsed.faults));
    }
    parsed.configuration.revision = revision;
    if (this->hasRules()) {
        this->previousRules.push_front({ this->revision(), this->configuration->text });
    }
    this->previousRules.resize(std::min(this->previousRules.size(), maximumPreviousRules));
    this->configuration = std::make_shared<Configuration>(std::move(parsed.configuration));
    this->since = now;
    return absl::OkStatus();
}

absl::Status ConfigurationFollower::applyIfNewer(TimePoint now, const Revision& revision, const RulesPatch& patch)
{
    if (revision <= this->configuration->revision) {
        return absl::AlreadyExistsError(
            concat("revision ", formatRevision(revision), " is not later than revision ", formatRevision(this->configuration->revision), ", which is in force"));
    }
    const std::optional<std::string> text = applyPatch(patch, this->configuration->revision, this->configuration->text);
    return text ? this->applyIfNewer(now, revision, *text) : absl::DataLossError("the patch does not apply to the rules in force");
}

RulesPatch ConfigurationFollower::patchFrom(const Revision& have) const
{
    const auto known = std::find_if(this->previousRules.begin(), this->previousRules.end(),
        [have](const PreviousRules& entry) { return entry.revision == have; });
    const bool isKnown = have.isValid() && known != this->previousRules.end();
    return makePatch(isKnown ? have : Revision {}, isKnown ? std::string_view(known->text) : std::string_view(), this->configuration->text);
}

} // namespace lavender
