/** @file rule_type.h Configuration as parsed from the operators' rules, and faults of a rules file. */
#pragma once

#include "core/address_type.h"
#include "core/revision_type.h"
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

/** Service rule: a service that callers reach at its address or through routes. */
struct ServiceRule {
    std::string name;
    Address address; ///< Address that callers send to; not valid if the service is reached through routes only.
    uint16_t slots = 1; ///< Maximum number of requests that one upstream runs concurrently.
    Duration ramp = 5s; ///< Slow start: time under load from a cold start until all slots are used.
    uint32_t connections = 2000; ///< Maximum number of flows that one upstream holds.
    std::optional<uint32_t> coldOpeningsPerSecond; ///< Maximum rate of new flows for a cold upstream; no limit if not set.
    std::optional<Duration> warmUp; ///< How long an upstream is cold after its start; unknown if not set.
    uint64_t nameHash = 0; ///< hashText(name), which identifies the service on the wire.
};

/** A part of a route's new flows that goes to one service. */
struct RouteShare {
    ServiceId service;
    uint32_t weight = 1; ///< Share relative to the weights of the route's other services.
};

/** Route rule: an address that callers reach one or several services at, and what its requests need. */
struct RouteRule {
    std::vector<RouteShare> shares; ///< At least one; in the order of the rule.
    std::optional<Duration> latencyGoal; ///< Wanted time from the caller's first packet to the answer.
    std::optional<Duration> timeout; ///< How long a caller waits for an answer; unknown if not set.
    uint8_t priority = 0; ///< 0 is the most urgent.
};

/** Position in a rules file. */
struct RulePosition {
    size_t line = 0; ///< From 1.
    size_t column = 0; ///< From 1.
};

/** One fault of a rules file. */
struct RuleFault {
    RulePosition position;
    std::string text; ///< Message: what was found and what was expected.
};

/** One revision of the rules, parsed. Filled by parseRules(). */
struct Configuration {
    Revision revision; ///< Revision of these rules; not valid if there are none yet.
    std::string text; ///< The rules file as the operators wrote it.
    std::vector<ServiceRule> services; ///< Indexed by ServiceId.
    std::map<Address, ServiceId> serviceByAddress; ///< Own addresses of services, and addresses of routes.
    std::map<Address, RouteRule> routes; ///< By address; a service's own address has no entry.
    std::map<uint64_t, ServiceId> serviceByHash; ///< By ServiceRule::nameHash.
    std::set<std::pair<std::string, std::string>> announcePermissions; ///< Service and zone, or anyZone, of each announce rule.
    std::set<std::string> zones; ///< Zones that any rule names.
    std::set<std::string> zonesOut; ///< Zones that are out of service: no packets are routed to their agents.
    std::set<std::string> zonesDraining; ///< Zones that take no new flows and keep their open ones.
    std::set<Address> drainedAgents; ///< Agents whose upstream is drained: it gets no new flow and no new work.
    std::map<Address, uint16_t> agentWeightPercents; ///< By agent: percentage of its normal share of the work; 100 if not set.

    /** Finds a service by name. @return nullptr if the rules do not define it. */
    const ServiceRule* findService(std::string_view name) const;
    bool isZoneOut(const std::string& zone) const { return this->zonesOut.contains(zone); }
    bool isZoneDraining(const std::string& zone) const { return this->zonesDraining.contains(zone); }
    /** True if agents in @p zone may announce upstreams for @p service. */
    bool mayAnnounce(const std::string& service, const std::string& zone) const;
};

} // namespace lavender
