/** @file setting_func.h Parses and checks settings files. */
#pragma once

#include "core/address_type.h"
#include "core/time_type.h"
#include "settings/setting_type.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/** The values of one settings file after its checks, with defaults filled in. Each path must be one of the table. */
class SettingValues {
public:
    /** Returns the value as text; empty if not set. */
    std::string text(std::string_view path) const;
    /** Returns the value as a number; 0 if not set. */
    int64_t number(std::string_view path) const;
    /** Returns the value as a number that may have a fraction; 0 if not set. */
    double decimal(std::string_view path) const;
    /** Returns the value as an address; not valid if not set. */
    Address address(std::string_view path) const;
    /** Returns the value as a list of addresses. */
    std::vector<Address> addresses(std::string_view path) const;
    Duration milliseconds(std::string_view path) const { return std::chrono::milliseconds(this->number(path)); }
    Duration seconds(std::string_view path) const { return std::chrono::seconds(this->number(path)); }

    std::map<std::string, std::string, std::less<>> values; ///< By path: texts as they are, numbers and lists as JSON.
};

/**
 * Parses and checks a settings file.
 * @param json Content of the file.
 * @return The values, or InvalidArgument that lists all faults, one a line, such as "/upstream/slots: 0: expected 1..600".
 */
absl::StatusOr<SettingValues> parseSettings(const SettingTable& table, std::string_view json);

/** Returns the paths of settings that differ between @p before and @p after but need a restart to take effect. */
std::vector<std::string> changesNeedingRestart(const SettingTable& table, const SettingValues& before, const SettingValues& after);

/** Formats the settings of a program as a Markdown table, for --help and docs/SETTINGS.md. */
std::string formatSettingTable(const SettingTable& table);

/** Settings of lavender-balancer; docs/SETTINGS.md describes each. */
struct BalancerProcessSettings {
    Address listen; ///< Address where other processes reach this one; its identity.
    Address bind; ///< Address that the sockets are bound to; differs from listen behind address translation.
    Duration clockOffset {}; ///< Added to the time of day from which the incarnation is made; for tests with a wrong clock.
    std::string zone; ///< Availability zone of the process.
    std::string storeUrl; ///< URL of the platform store; empty if the process uses none.
    std::string storeDialect; ///< Interface of the store: "etcd" or "kv".
    Duration storeTimeout {}; ///< Time after which a store call without an answer fails.
    Duration leaseTime {}; ///< Lifetime of the lease of this balancer's entry in the store.
    Duration readPeriod {}; ///< Approximate time between two reads of the rules by this balancer.
    Duration fleetReadPeriod {}; ///< Approximate time between two reads by all balancers taken together; zero if not used.
    std::vector<Address> seeds; ///< Balancers to contact first.
    std::string steering; ///< Name of the steering: "product", "packets", "naive" or "hash".
    Address fabricListen; ///< Address that routers deliver opaque packets to; not valid if flows carry exchanges.
    Address fabricReady; ///< Address where routers ask whether to deliver packets.
    uint32_t outliersOneIn = 0; ///< At most one in this many upstreams of a service is set aside; 0 turns outlier detection off.
    Duration linger {}; ///< Time after the signal to stop in which packets are still forwarded.
    uint64_t linkBytesPerSecond = 0; ///< Rate of the instance's link, each way; 0 if it is not known.
    Address metrics; ///< Address where metrics are served; not valid if they are not.
    std::string logFormat; ///< "text" or "json".
    std::string logLevel; ///< Lowest level that is logged: "debug", "info", "warn" or "error".
};

/** Settings of lavender-agent; docs/SETTINGS.md describes each. */
struct AgentProcessSettings {
    Address listen; ///< Address where other processes reach this one; its identity.
    Address bind; ///< Address that the sockets are bound to; differs from listen behind address translation.
    Duration clockOffset {}; ///< Added to the time of day from which the incarnation is made; for tests with a wrong clock.
    std::string zone; ///< Availability zone of the process.
    std::string service; ///< Service of the upstream.
    std::string upstreamUrl; ///< URL of an HTTP upstream; empty if it takes opaque packets.
    Address upstreamPackets; ///< Address of an upstream that takes opaque packets; not valid if upstreamUrl is set.
    Address upstreamOutbound; ///< Address that such an upstream sends its packets to.
    Address upstreamReports; ///< Address that such an upstream sends its heartbeats to.
    Duration reportPeriod {}; ///< Approximate time between two heartbeats of such an upstream.
    Address fabricListen; ///< Callers of opaque flows receive packets on the port of this address; the host is not used.
    bool hasFlowDirectory = false; ///< The agents of the service keep a directory of opaque flows.
    bool holdsRequests = true; ///< Requests on open flows wait while the upstream is full.
    uint16_t slots = 1; ///< Requests that the upstream runs at once.
    Duration healthPeriod {}; ///< Time between two reads of the health endpoint of an HTTP upstream.
    Address returnAddress; ///< Address of the fabric that packets for callers are sent to, if flows carry exchanges.
    std::string storeUrl; ///< URL of the platform store; empty if the process uses none.
    std::string storeDialect; ///< Interface of the store: "etcd" or "kv".
    Duration storeTimeout {}; ///< Time after which a store call without an answer fails.
    std::vector<Address> seeds; ///< Balancers to contact first.
    Duration drainTime {}; ///< Time to drain after the signal to stop; work still open then is given up.
    Duration linger {}; ///< Time after the last flow has moved in which late packets are still forwarded.
    Address metrics; ///< Address where metrics are served; not valid if they are not.
    std::string logFormat; ///< "text" or "json".
    std::string logLevel; ///< Lowest level that is logged: "debug", "info", "warn" or "error".
};

/** Parses a settings file of lavender-balancer. @return The settings, or the error of parseSettings. */
absl::StatusOr<BalancerProcessSettings> parseBalancerSettings(std::string_view json);

/** Parses a settings file of lavender-agent. @return The settings, or the error of parseSettings. */
absl::StatusOr<AgentProcessSettings> parseAgentSettings(std::string_view json);

} // namespace lavender
