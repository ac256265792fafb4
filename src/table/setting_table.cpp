/** @file setting_table.cpp The settings of the daemons. */
#include "settings/setting_type.h"

#include <array>

namespace lavender {

namespace {

    constexpr SettingDescription listenSetting { "/listen", SettingKind::AddressText, "", true, 0, 0, "", "Address of this process, UDP and TCP; also its identity" };
    constexpr SettingDescription bindSetting { "/bind", SettingKind::AddressText, "", false, 0, 0, "", "Address that is bound, where others reach this process through address translation; /listen where it is not given" };
    constexpr SettingDescription clockSetting { "/clock/offset_ms", SettingKind::Number, "0", false, 0, 86'400'000, "", "Added to the time of day, which numbers the starts of a process; for tests of clocks that are wrong" };
    constexpr SettingDescription zoneSetting { "/zone", SettingKind::Name, "", true, 0, 0, "", "Availability zone that this process runs in" };
    constexpr SettingDescription storeSetting { "/store/url", SettingKind::Url, "", false, 0, 0, "", "Platform store; without it the process learns from its seeds only" };
    constexpr SettingDescription storeTimeoutSetting { "/store/timeout_ms", SettingKind::Number, "2000", false, 10, 60'000, "", "A store call without an answer fails after this time" };
    constexpr SettingDescription seedsSetting { "/seeds", SettingKind::AddressList, "[]", false, 0, 0, "", "Balancers to ask first, besides those that the store names", true };
    constexpr SettingDescription logFormatSetting { "/log/format", SettingKind::Choice, "text", false, 0, 0, "text|json", "Form of the log lines: text on standard error, or json, one object a line on standard output", true };
    constexpr SettingDescription metricsSetting { "/metrics", SettingKind::AddressText, "", false, 0, 0, "", "Where counters and latencies are served at /metrics; without it they are not" };
    constexpr SettingDescription storeDialectSetting { "/store/dialect", SettingKind::Choice, "etcd", false, 0, 0, "etcd|kv", "How the store speaks: the etcd v3 gateway, or the platform's key-value interface" };
    constexpr SettingDescription seedsPortSetting { "/seeds_port", SettingKind::Number, "0", false, 0, 65'535, "", "Port of every seed, where the list names another one; 0 leaves it as listed" };
    constexpr SettingDescription logLevelSetting { "/log/level", SettingKind::Choice, "info", false, 0, 0, "debug|info|warn|error", "Least level that is logged", true };

    constexpr std::array balancerSettings {
        listenSetting,
        bindSetting,
        zoneSetting,
        storeSetting,
        storeDialectSetting,
        storeTimeoutSetting,
        SettingDescription { "/store/lease_s", SettingKind::Number, "60", false, 5, 3600, "", "Lifetime of the lease under which this balancer is listed; renewed after a third of it" },
        SettingDescription { "/store/read_s", SettingKind::Number, "30", false, 1, 3600, "", "A balancer reads the rules about this often, watch or not" },
        SettingDescription { "/store/fleet_read_ms", SettingKind::Number, "0", false, 0, 3'600'000, "", "All balancers together read the rules about this often, where that is sooner; 0: each by itself only" },
        seedsSetting,
        seedsPortSetting,
        SettingDescription { "/steering", SettingKind::Choice, "product", false, 0, 0, "product|packets|naive|hash", "How flows are spread: product for the project's own exchanges, packets for opaque ones; naive and hash are for comparisons" },
        SettingDescription { "/fabric/listen", SettingKind::AddressText, "", false, 0, 0, "", "Where the platform's routers deliver opaque packets; without it flows carry the project's own exchanges" },
        SettingDescription { "/fabric/ready", SettingKind::AddressText, "", false, 0, 0, "", "Where the platform's routers ask whether to deliver; required with /fabric/listen", false, "/fabric/listen" },
        SettingDescription { "/stop/linger_ms", SettingKind::Number, "2000", false, 0, 600'000, "", "After the signal to stop, packets are still forwarded for this time", true },
        metricsSetting,
        logFormatSetting,
        logLevelSetting,
        clockSetting,
    };

    constexpr std::array agentSettings {
        listenSetting,
        bindSetting,
        zoneSetting,
        SettingDescription { "/service", SettingKind::Name, "", true, 0, 0, "", "Service that the upstream belongs to" },
        SettingDescription { "/upstream/url", SettingKind::Url, "", false, 0, 0, "", "The upstream beside this agent, HTTP/1.1; required without /upstream/packets", false, {}, "/upstream/packets" },
        SettingDescription { "/upstream/packets", SettingKind::AddressText, "", false, 0, 0, "", "The upstream beside this agent, where it takes opaque packets" },
        SettingDescription { "/upstream/outbound", SettingKind::AddressText, "", false, 0, 0, "", "Where such an upstream sends its packets; required with /upstream/packets", false, "/upstream/packets" },
        SettingDescription { "/upstream/reports", SettingKind::AddressText, "", false, 0, 0, "", "Where such an upstream sends its heartbeats; required with /upstream/packets", false, "/upstream/packets" },
        SettingDescription { "/upstream/report_ms", SettingKind::Number, "1000", false, 50, 60'000, "", "Such an upstream sends a heartbeat about this often" },
        SettingDescription { "/fabric/listen", SettingKind::AddressText, "", false, 0, 0, "", "Callers of opaque flows listen on this port; required with /upstream/packets", false, "/upstream/packets" },
        SettingDescription { "/upstream/slots", SettingKind::Number, "1", false, 1, 600, "", "Requests that the upstream runs at once; the service's rule may lower it" },
        SettingDescription { "/upstream/health_ms", SettingKind::Number, "500", false, 50, 60'000, "", "The upstream's health endpoint is read this often" },
        SettingDescription { "/return", SettingKind::AddressText, "", false, 0, 0, "", "Where packets for callers are sent: the fabric; required without /upstream/packets", false, {}, "/upstream/packets" },
        storeSetting,
        storeDialectSetting,
        storeTimeoutSetting,
        seedsSetting,
        seedsPortSetting,
        SettingDescription { "/stop/drain_s", SettingKind::Number, "300", false, 1, 86'400, "", "After the signal to stop, open work is given up after this time", true },
        SettingDescription { "/stop/linger_ms", SettingKind::Number, "3000", false, 0, 600'000, "", "After the last flow has moved, late packets are still passed on for this time", true },
        metricsSetting,
        logFormatSetting,
        logLevelSetting,
        clockSetting,
    };

} // namespace

const SettingTable balancerSettingTable { "lavender-balancer", balancerSettings };
const SettingTable agentSettingTable { "lavender-agent", agentSettings };

} // namespace lavender
