/** @file follower.cpp Accepts rising revisions only. */
#include "config/follower_base.h"

#include "config/rule_func.h"
#include "core/text_func.h"

namespace lavender {

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
    this->configuration = std::make_shared<Configuration>(std::move(parsed.configuration));
    this->since = now;
    return absl::OkStatus();
}

} // namespace lavender
