/** @file roster.cpp Text of a roster, and which agents it names. */
#include "member/roster.h"

#include "core/json_func.h"

#include <absl/status/status.h>

#include <nlohmann/json.hpp>

namespace lavender {

namespace {

    using Json = nlohmann::json;

    constexpr Duration lostAgentKeepTime = 1min; ///< An agent that was found to be gone may be cut off with its flows, which are idle no longer than that.

    /** True if the upstream of an agent may hold flows, as far as this process knows. */
    bool mayHoldFlows(TimePoint now, const Member& member)
    {
        const bool hasLeft = member.record.state == MemberState::NoUpstream;
        return member.record.liveness != Liveness::Gone || (!hasLeft && now - member.changedAt < lostAgentKeepTime);
    }

} // namespace

std::string formatRoster(const Roster& roster)
{
    Json json = Json::object();
    for (const auto& [service, agents] : roster) {
        Json& entries = json[service] = Json::object();
        for (const auto& [address, zone] : agents) {
            entries[formatAddress(address)] = zone;
        }
    }
    return json.dump();
}

absl::StatusOr<Roster> parseRoster(std::string_view text)
{
    const Json json = parseJson(text);
    if (!json.is_object()) {
        return absl::InvalidArgumentError("roster: expected an object with the agents of each service");
    }
    Roster roster;
    for (const auto& [service, entries] : json.items()) {
        if (!entries.is_object()) {
            continue;
        }
        for (const auto& [name, zone] : entries.items()) {
            const absl::StatusOr<Address> address = parseAddress(name);
            if (address.ok() && zone.is_string()) {
                roster[service][*address] = zone;
            }
        }
    }
    return roster;
}

Roster makeRoster(TimePoint now, const MemberTable& table, const Roster& earlier, bool keepsUnknown)
{
    Roster roster;
    for (const auto& [address, member] : table.all()) {
        if (member.record.role == MemberRole::Agent && mayHoldFlows(now, member)) {
            roster[member.record.service][address] = member.record.zone;
        }
    }
    for (const auto& [service, agents] : earlier) {
        for (const auto& [address, zone] : agents) {
            if (keepsUnknown && table.find(address) == nullptr) {
                roster[service][address] = zone;
            }
        }
    }
    return roster;
}

} // namespace lavender
