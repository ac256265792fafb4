/** @file setting_table.cpp Descriptions of the settings of both daemons. */
#include "settings/setting_type.h"

#include <array>

namespace lavender {

namespace {

    constexpr SettingDescription listenSetting {
        .path = "/listen",
        .kind = SettingKind::AddressText,
        .isRequired = true,
        .help = "Address where other processes reach this one, UDP and TCP; also its identity",
    };
    constexpr SettingDescription bindSetting {
        .path = "/bind",
        .kind = SettingKind::AddressText,
        .help = "Address that the sockets are bound to, if other processes reach this one through address translation; /listen if not set",
    };
    constexpr SettingDescription clockSetting {
        .path = "/clock/offset_ms",
        .kind = SettingKind::Number,
        .defaultValue = "0",
        .minimum = 0,
        .maximum = 86'400'000,
        .help = "Added to the time of day that the incarnation number of the process is made from; for tests with a wrong clock",
    };
    constexpr SettingDescription zoneSetting {
        .path = "/zone",
        .kind = SettingKind::Name,
        .isRequired = true,
        .help = "Availability zone that this process runs in",
    };
    constexpr SettingDescription storeSetting {
        .path = "/store/url",
        .kind = SettingKind::Url,
        .help = "Platform store; without it the process finds the others through its seeds only",
    };
    constexpr SettingDescription storeTimeoutSetting {
        .path = "/store/timeout_ms",
        .kind = SettingKind::Number,
        .defaultValue = "2000",
        .minimum = 10,
        .maximum = 60'000,
        .help = "Time after which a store call without an answer fails",
    };
    constexpr SettingDescription seedsSetting {
        .path = "/seeds",
        .kind = SettingKind::AddressList,
        .defaultValue = "[]",
        .help = "Balancers to contact first, in addition to those that the store lists",
        .isReloadable = true,
    };
    constexpr SettingDescription logFormatSetting {
        .path = "/log/format",
        .kind = SettingKind::Choice,
        .defaultValue = "text",
        .choices = "text|json",
        .help = "Format of the log: text on standard error, or json with one object a line on standard output",
        .isReloadable = true,
    };
    constexpr SettingDescription metricsSetting {
        .path = "/metrics",
        .kind = SettingKind::AddressText,
        .help = "Address where metrics are served under the path /metrics; if not set, they are not served",
    };
    constexpr SettingDescription storeDialectSetting {
        .path = "/store/dialect",
        .kind = SettingKind::Choice,
        .defaultValue = "etcd",
        .choices = "etcd|kv",
        .help = "Interface of the store: the etcd v3 gateway, or the platform's key-value interface",
    };
    constexpr SettingDescription seedsPortSetting {
        .path = "/seeds_port",
        .kind = SettingKind::Number,
        .defaultValue = "0",
        .minimum = 0,
        .maximum = 65'535,
        .help = "Port used for every seed instead of the listed one; 0 keeps the listed ports",
    };
    constexpr SettingDescription logLevelSetting {
        .path = "/log/level",
        .kind = SettingKind::Choice,
        .defaultValue = "info",
        .choices = "debug|info|warn|error",
        .help = "Lowest level that is logged",
        .isReloadable = true,
    };

    constexpr std::array balancerSettings {
        listenSetting,
        bindSetting,
        zoneSetting,
        storeSetting,
        storeDialectSetting,
        storeTimeoutSetting,
        SettingDescription {
            .path = "/store/lease_s",
            .kind = SettingKind::Number,
            .defaultValue = "60",
            .minimum = 5,
            .maximum = 3600,
            .help = "Lifetime of the lease on the entry of this balancer in the store; renewed after a third of it",
        },
        SettingDescription {
            .path = "/store/read_s",
            .kind = SettingKind::Number,
            .defaultValue = "30",
            .minimum = 1,
            .maximum = 3600,
            .help = "About the time between two reads of the rules by a balancer, even while it watches them",
        },
        SettingDescription {
            .path = "/store/fleet_read_ms",
            .kind = SettingKind::Number,
            .defaultValue = "0",
            .minimum = 0,
            .maximum = 3'600'000,
            .help = "About the time between two reads of the rules by all balancers taken together, if /store/read_s does not come sooner; 0 turns these reads off",
        },
        seedsSetting,
        seedsPortSetting,
        SettingDescription {
            .path = "/steering",
            .kind = SettingKind::Choice,
            .defaultValue = "product",
            .choices = "product|packets|naive|hash",
            .help = "How flows are spread: product for the project's own exchanges, packets for opaque packets; naive (hash modulo) and hash (plain consistent hashing) are for comparisons",
        },
        SettingDescription {
            .path = "/fabric/listen",
            .kind = SettingKind::AddressText,
            .help = "Address that the platform's routers deliver opaque packets to; if not set, flows carry the project's own exchanges",
        },
        SettingDescription {
            .path = "/fabric/ready",
            .kind = SettingKind::AddressText,
            .help = "Address where the platform's routers ask whether to deliver packets; required with /fabric/listen",
            .requiredWith = "/fabric/listen",
        },
        SettingDescription {
            .path = "/stop/linger_ms",
            .kind = SettingKind::Number,
            .defaultValue = "2000",
            .minimum = 0,
            .maximum = 600'000,
            .help = "Packets are still forwarded for this time after the signal to stop",
            .isReloadable = true,
        },
        SettingDescription {
            .path = "/limits/link_mbps",
            .kind = SettingKind::Decimal,
            .minimum = 1,
            .maximum = 1'000'000,
            .help = "Rate of the instance's link, each way, in Mbit/s; packets then wait for it here, openings and small flows first. If not set, they are sent at once",
        },
        SettingDescription {
            .path = "/outliers/one_in",
            .kind = SettingKind::Number,
            .defaultValue = "0",
            .minimum = 0,
            .maximum = 100,
            .help = "Outlier detection for opaque packets: at most one in this many upstreams of a service is set aside (at least 3 are counted); 0 turns it off",
            .isReloadable = true,
        },
        metricsSetting,
        logFormatSetting,
        logLevelSetting,
        clockSetting,
    };

    constexpr std::array agentSettings {
        listenSetting,
        bindSetting,
        zoneSetting,
        SettingDescription {
            .path = "/service",
            .kind = SettingKind::Name,
            .isRequired = true,
            .help = "Service that the upstream belongs to",
        },
        SettingDescription {
            .path = "/upstream/url",
            .kind = SettingKind::Url,
            .help = "URL of the upstream of this agent, HTTP/1.1; required without /upstream/packets",
            .requiredWithout = "/upstream/packets",
        },
        SettingDescription {
            .path = "/upstream/packets",
            .kind = SettingKind::AddressText,
            .help = "Address of the upstream of this agent, if it takes opaque packets",
        },
        SettingDescription {
            .path = "/upstream/outbound",
            .kind = SettingKind::AddressText,
            .help = "Address that an upstream for opaque packets sends its packets to; required with /upstream/packets",
            .requiredWith = "/upstream/packets",
        },
        SettingDescription {
            .path = "/upstream/reports",
            .kind = SettingKind::AddressText,
            .help = "Address that an upstream for opaque packets sends its heartbeats to; required with /upstream/packets",
            .requiredWith = "/upstream/packets",
        },
        SettingDescription {
            .path = "/upstream/report_ms",
            .kind = SettingKind::Number,
            .defaultValue = "1000",
            .minimum = 50,
            .maximum = 60'000,
            .help = "About the time between two heartbeats of an upstream for opaque packets",
        },
        SettingDescription {
            .path = "/fabric/listen",
            .kind = SettingKind::AddressText,
            .help = "Callers of opaque flows receive packets on the port of this address; required with /upstream/packets",
            .requiredWith = "/upstream/packets",
        },
        SettingDescription {
            .path = "/admission/hold_requests",
            .kind = SettingKind::Choice,
            .defaultValue = "on",
            .choices = "off|on",
            .help = "on: requests on open flows wait at the agent while the upstream is full, where the rules state time-outs or priorities",
        },
        SettingDescription {
            .path = "/flow_directory",
            .kind = SettingKind::Choice,
            .defaultValue = "off",
            .choices = "off|on",
            .help = "on: the agents of the service keep a directory of opaque flows, which finds a flow's owner or proves that there is none in a few messages; the same for all agents of a service",
        },
        SettingDescription {
            .path = "/upstream/slots",
            .kind = SettingKind::Number,
            .defaultValue = "1",
            .minimum = 1,
            .maximum = 600,
            .help = "Requests that the upstream runs at once; the rule of the service may lower it",
        },
        SettingDescription {
            .path = "/upstream/health_ms",
            .kind = SettingKind::Number,
            .defaultValue = "500",
            .minimum = 50,
            .maximum = 60'000,
            .help = "Time between two reads of the upstream's health endpoint",
        },
        SettingDescription {
            .path = "/return",
            .kind = SettingKind::AddressText,
            .help = "Address of the fabric, which packets for callers are sent to; required without /upstream/packets",
            .requiredWithout = "/upstream/packets",
        },
        storeSetting,
        storeDialectSetting,
        storeTimeoutSetting,
        seedsSetting,
        seedsPortSetting,
        SettingDescription {
            .path = "/stop/drain_s",
            .kind = SettingKind::Number,
            .defaultValue = "300",
            .minimum = 1,
            .maximum = 86'400,
            .help = "Time to drain after the signal to stop; work still open then is given up",
            .isReloadable = true,
        },
        SettingDescription {
            .path = "/stop/linger_ms",
            .kind = SettingKind::Number,
            .defaultValue = "3000",
            .minimum = 0,
            .maximum = 600'000,
            .help = "Late packets are still forwarded for this time after the last flow has moved",
            .isReloadable = true,
        },
        metricsSetting,
        logFormatSetting,
        logLevelSetting,
        clockSetting,
    };

} // namespace

const SettingTable balancerSettingTable { "lavender-balancer", balancerSettings };
const SettingTable agentSettingTable { "lavender-agent", agentSettings };

} // namespace lavender
