/** @file rule_cmd.cpp Commands on the operators' rules. */
#include "config/rule_cmd.h"

#include "config/rule_func.h"
#include "core/text_func.h"

#include <algorithm>

namespace lavender {

namespace {

    absl::Status checkNames(const Configuration& before, const RuleCommand& command)
    {
        const bool isZoneCommand = command.kind == RuleCommandKind::ZoneOut || command.kind == RuleCommandKind::ZoneIn;
        if (isZoneCommand && !before.zones.contains(command.zone)) {
            const std::vector<std::string_view> zones(before.zones.begin(), before.zones.end());
            return absl::InvalidArgumentError(concat("zone \"", command.zone, "\": expected one of ", joinText(zones, ", ")));
        }
        const bool isAsked = command.kind == RuleCommandKind::Replace || !command.who.empty();
        if (!isAsked || command.who.find('\n') != std::string::npos) {
            return absl::InvalidArgumentError("who asked: expected a name on one line");
        }
        return absl::OkStatus();
    }

    std::string changedText(std::string_view current, const RuleCommand& command)
    {
        switch (command.kind) {
        case RuleCommandKind::Replace:
            return command.text;
        case RuleCommandKind::ZoneOut:
            return withZone(current, command.zone, true, command.who);
        case RuleCommandKind::ZoneIn:
            return withZone(current, command.zone, false, command.who);
        case RuleCommandKind::Drain:
            return withDrain(current, command.agent, true, command.who);
        case RuleCommandKind::Undrain:
            return withDrain(current, command.agent, false, command.who);
        }
        return std::string(current);
    }

    std::vector<std::string> warningsFor(const Configuration& after)
    {
        std::vector<std::string> warnings;
        for (const ServiceRule& service : after.services) {
            size_t zones = 0;
            size_t zonesIn = 0;
            for (const auto& [name, zone] : after.announcers) {
                zones += name == service.name ? 1 : 0;
                zonesIn += name == service.name && !after.isZoneOut(zone) ? 1 : 0;
            }
            if (zones == 0) {
                warnings.push_back(concat("service ", service.name, ": no zone may announce upstreams for it"));
            } else if (zonesIn == 0) {
                warnings.push_back(concat("service ", service.name, ": every one of its zones is out"));
            }
        }
        return warnings;
    }

} // namespace

absl::StatusOr<RuleOutcome> testCommand(std::string_view current, const RuleCommand& command)
{
    if (absl::Status status = checkNames(parseRules(current).configuration, command); !status.ok()) {
        return status;
    }
    RuleOutcome outcome { .text = changedText(current, command) };
    const ParsedRules after = parseRules(outcome.text);
    if (!after.faults.empty()) {
        return absl::InvalidArgumentError(formatFaults("rules", after.faults));
    }
    outcome.warnings = warningsFor(after.configuration);
    return outcome;
}

} // namespace lavender
