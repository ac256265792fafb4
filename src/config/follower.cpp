/** @file follower.cpp Accepts rising revisions only. */
#include "config/follower_base.h"

#include "config/rule_func.h"
#include "core/text_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr size_t rememberedRevisions = 2; ///< For patches; each is as large as the rules.

} // namespace

absl::Status ConfigurationFollower::offer(TimePoint now, Revision revision, std::string_view rules)
{
    // An answer of the store or a peer can be old; only the number decides, never the order of arrival.
    if (revision <= this->configuration->revision) {
        return absl::AlreadyExistsError(concat("revision ", revision, ": expected above ", this->configuration->revision));
    }
    ParsedRules parsed = parseRules(rules);
    if (!parsed.faults.empty()) {
        return absl::InvalidArgumentError(formatFaults("rules", parsed.faults));
    }
    parsed.configuration.revision = revision;
    if (this->hasAny()) {
        this->previous.push_front({ this->revision(), this->configuration->text });
    }
    this->previous.resize(std::min(this->previous.size(), rememberedRevisions));
    this->configuration = std::make_shared<Configuration>(std::move(parsed.configuration));
    this->since = now;
    return absl::OkStatus();
}

absl::Status ConfigurationFollower::offer(TimePoint now, Revision revision, const RulesPatch& patch)
{
    if (revision <= this->configuration->revision) {
        return absl::AlreadyExistsError(concat("revision ", revision, ": expected above ", this->configuration->revision));
    }
    const std::optional<std::string> text = applyPatch(patch, this->configuration->revision, this->configuration->text);
    return text ? this->offer(now, revision, *text) : absl::DataLossError("the patch does not fit the rules in force");
}

RulesPatch ConfigurationFollower::patchFrom(Revision have) const
{
    const auto known = std::find_if(this->previous.begin(), this->previous.end(), [have](const PreviousRules& entry) { return entry.revision == have; });
    const bool isKnown = have != 0 && known != this->previous.end();
    return makePatch(isKnown ? have : 0, isKnown ? std::string_view(known->text) : std::string_view(), this->configuration->text);
}

} // namespace lavender
