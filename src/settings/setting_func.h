/** @file setting_func.h Reads settings files against their table. */
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

/** The checked values of one file; every setting of the table has one. */
class SettingValues {
public:
    std::string text(std::string_view path) const;
    int64_t number(std::string_view path) const;
    Address address(std::string_view path) const;
    std::vector<Address> addresses(std::string_view path) const;
    Duration milliseconds(std::string_view path) const { return std::chrono::milliseconds(this->number(path)); }
    Duration seconds(std::string_view path) const { return std::chrono::seconds(this->number(path)); }

    std::map<std::string, std::string, std::less<>> values; ///< By path; lists as JSON.
};

/**
 * Parses a settings file.
 * @return InvalidArgument that names every fault, one a line: "/listen/port: 70000: expected 1..65535".
 */
absl::StatusOr<SettingValues> parseSettings(const SettingTable& table, std::string_view json);

/** Paths of the settings that differ and that a running process cannot take anew. */
std::vector<std::string> fixedChanges(const SettingTable& table, const SettingValues& before, const SettingValues& after);

/** Writes the settings of a program as Markdown, for docs/SETTINGS.md. */
std::string formatSettingTable(const SettingTable& table);

/** What the balancer's process is told. */
struct BalancerProcessSettings {
    Address listen; ///< Where others reach the process.
    Address bind; ///< What is bound for it.
    Duration clockOffset {};
    std::string zone;
    std::string storeUrl; ///< Empty where there is none.
    std::string storeDialect; ///< "etcd" or "kv".
    Duration storeTimeout {};
    Duration leaseTime {};
    Duration readPeriod {};
    Duration fleetReadPeriod {};
    std::vector<Address> seeds;
    std::string steering;
    Address fabricListen; ///< Not valid where flows carry the project's own exchanges.
    Address fabricReady;
    Duration linger {};
    Address metrics; ///< Not valid where none are served.
    std::string logFormat;
    std::string logLevel;
};

/** What the agent's process is told. */
struct AgentProcessSettings {
    Address listen; ///< Where others reach the process.
    Address bind; ///< What is bound for it.
    Duration clockOffset {};
    std::string zone;
    std::string service;
    std::string upstreamUrl;
    Address upstreamPackets; ///< Valid where the upstream takes opaque packets; upstreamUrl is empty then.
    Address upstreamOutbound;
    Address upstreamReports;
    Duration reportPeriod {};
    Address fabricListen;
    uint16_t slots = 1;
    Duration healthPeriod {};
    Address returnPath;
    std::string storeUrl; ///< Empty where there is none.
    std::string storeDialect; ///< "etcd" or "kv".
    Duration storeTimeout {};
    std::vector<Address> seeds;
    Duration drainTime {};
    Duration linger {};
    Address metrics; ///< Not valid where none are served.
    std::string logFormat;
    std::string logLevel;
};

absl::StatusOr<BalancerProcessSettings> parseBalancerSettings(std::string_view json);
absl::StatusOr<AgentProcessSettings> parseAgentSettings(std::string_view json);

} // namespace lavender
