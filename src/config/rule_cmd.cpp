/** @file rule_cmd.cpp Test pass of the commands that change the operators' rules. */
#include "config/rule_cmd.h"

#include "config/rule_func.h"
#include "core/text_func.h"

#include <algorithm>

namespace lavender {

namespace {

    absl::Status checkArguments(const Configuration& before, const RuleCommand& command)
    {
        const bool isZoneCommand = command.kind == RuleCommandKind::ZoneOut || command.kind == RuleCommandKind::ZoneIn;
        if (isZoneCommand && !before.zones.contains(command.zone)) {
            const std::vector<std::string_view> zones(before.zones.begin(), before.zones.end());
            return absl::InvalidArgumentError(concat("no rule names zone \"", command.zone, "\": expected one of ", joinText(zones, ", ")));
        }
        const bool hasRequester = command.kind == RuleCommandKind::Replace || !command.who.empty();
        if (!hasRequester || command.who.find('\n') != std::string::npos) {
            return absl::InvalidArgumentError("requester missing or longer than one line: expected the name of who asks for the change");
        }
        return absl::OkStatus();
    }

    std::string applyCommand(std::string_view current, const RuleCommand& command)
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

    std::vector<std::string> collectWarnings(const Configuration& after)
    {
        std::vector<std::string> warnings;
        for (const ServiceRule& service : after.services) {
            size_t zones = 0; // Zones that may announce the service; anyZone counts as one.
            size_t zonesIn = 0; // Of these, the zones that are not out of service.
            for (const auto& [name, zone] : after.announcePermissions) {
                zones += name == service.name ? 1 : 0;
                zonesIn += name == service.name && !after.isZoneOut(zone) ? 1 : 0;
            }
            if (zones == 0) {
                warnings.push_back(concat("service ", service.name, ": no zone may announce upstreams for it"));
            } else if (zonesIn == 0) {
                warnings.push_back(concat("service ", service.name, ": all zones that may announce upstreams for it are out"));
            }
        }
        return warnings;
    }

} // namespace

absl::StatusOr<RuleOutcome> testCommand(std::string_view current, const RuleCommand& command)
{
    if (absl::Status status = checkArguments(parseRules(current).configuration, command); !status.ok()) {
        return status;
    }
    RuleOutcome outcome { .text = applyCommand(current, command) };
    const ParsedRules after = parseRules(outcome.text);
    if (!after.faults.empty()) {
        return absl::InvalidArgumentError(formatFaults("rules", after.faults));
    }
    outcome.warnings = collectWarnings(after.configuration);
    return outcome;
}

} // namespace lavender
