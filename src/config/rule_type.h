/** @file rule_type.h The operators' rules and the configuration that they make. */
#pragma once

#include "core/address_type.h"
#include "core/strong_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavender {

constexpr std::string_view anyZone = "*"; ///< Stands for every availability zone in an announce rule.

/** A service that callers reach at its address or by routes. */
struct ServiceRule {
    std::string name;
    Address address; ///< Where callers send to; not valid where only routes name the service.
    uint16_t slots = 1; ///< Requests that one upstream runs at once at the most.
    Duration ramp = 5s; ///< Busy time that an upstream takes from cold to all its slots.
    uint32_t connections = 2000; ///< Flows that one upstream holds at the most.
    std::optional<uint32_t> coldOpeningsPerSecond; ///< New flows a second that a cold upstream bears; none where no rule says.
    std::optional<Duration> warmUp; ///< How long an upstream is cold after its start; none where no rule says.
    uint64_t nameHash = 0; ///< hashText(name): the service on the wire.
};

/** Where a rule or a fault stands in the operators' file. */
struct RulePosition {
    size_t line = 0; ///< From 1.
    size_t column = 0; ///< From 1.
};

/** One fault of a rules file. */
struct RuleFault {
    RulePosition position;
    std::string text; ///< What was found and what was expected.
};

/** The rules in force, parsed. An aggregate: parseRules fills it. */
struct Configuration {
    Revision revision = 0; ///< The store's revision of this set of rules.
    std::string text; ///< The operators' file, unchanged.
    std::vector<ServiceRule> services; ///< Indexed by ServiceId.
    std::map<Address, ServiceId> serviceByAddress;
    std::map<Address, Duration> latencyGoals; ///< Of requests to an address, from the caller's first packet to the answer.
    std::map<uint64_t, ServiceId> serviceByHash; ///< By ServiceRule::nameHash.
    std::set<std::pair<std::string, std::string>> announcers; ///< Service and zone whose agents may announce.
    std::set<std::string> zones; ///< Every zone that a rule names.
    std::set<std::string> zonesOut; ///< Zones out of service.
    std::set<std::string> zonesDraining; ///< Zones that take no new flow; those they have go on.
    std::set<Address> drained; ///< Agents whose upstream leaves.
    std::map<Address, uint16_t> weights; ///< Percent of an agent's share; 100 where none is given.

    const ServiceRule* findService(std::string_view name) const;
    bool isZoneOut(const std::string& zone) const { return this->zonesOut.contains(zone); }
    bool isZoneDraining(const std::string& zone) const { return this->zonesDraining.contains(zone); }
    bool mayAnnounce(const std::string& service, const std::string& zone) const;
};

} // namespace lavender
