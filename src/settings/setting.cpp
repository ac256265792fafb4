/** @file setting.cpp Parses a settings file: flattens its JSON and checks each value against the description of its setting. */
#include "settings/setting_func.h"

#include "core/text_func.h"
#include "wire/message_type.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace lavender {

namespace {

    using Json = nlohmann::json;

    /** Levenshtein distance of two texts. */
    size_t editDistance(std::string_view left, std::string_view right)
    {
        std::vector<size_t> row(right.size() + 1);
        std::iota(row.begin(), row.end(), size_t { 0 });
        for (size_t i = 1; i <= left.size(); ++i) {
            size_t diagonal = row[0];
            row[0] = i;
            for (size_t j = 1; j <= right.size(); ++j) {
                const size_t above = row[j];
                row[j] = std::min({ above + 1, row[j - 1] + 1, diagonal + (left[i - 1] == right[j - 1] ? 0U : 1U) });
                diagonal = above;
            }
        }
        return row.back();
    }

    /** Path of the setting that @p path is most likely a misspelling of. */
    std::string_view nearestPath(const SettingTable& table, std::string_view path)
    {
        const auto nearest = std::min_element(table.settings.begin(), table.settings.end(), [path](const auto& left, const auto& right) {
            return editDistance(left.path, path) < editDistance(right.path, path);
        });
        return nearest->path;
    }

    /** Checks a value. @return What is expected of it, or an empty text if it is valid. */
    std::string checkValue(const SettingDescription& setting, const Json& value)
    {
        const auto isText = value.is_string();
        const std::string text = isText ? value.get<std::string>() : "";
        switch (setting.kind) {
        case SettingKind::Name:
            return isText && isValidName(text, maximumNameBytes) ? "" : concat("a name of a-z, 0-9 and -, at most ", maximumNameBytes, " characters");
        case SettingKind::AddressText:
            return isText && parseAddress(text).ok() ? "" : "\"A.B.C.D:PORT\"";
        case SettingKind::AddressList: {
            const bool isValid = value.is_array() && std::all_of(value.begin(), value.end(), [](const Json& entry) { return entry.is_string() && parseAddress(entry.get<std::string>()).ok(); });
            return isValid ? "" : "a list of \"A.B.C.D:PORT\"";
        }
        case SettingKind::Url: {
            std::string_view rest = text;
            const bool isHttp = rest.substr(0, 7) == "http://";
            rest.remove_prefix(isHttp ? 7 : 0);
            return isText && isHttp && parseAddress(rest).ok() ? "" : "\"http://A.B.C.D:PORT\"";
        }
        case SettingKind::Number: {
            const bool isValid = value.is_number_integer() && value.get<int64_t>() >= setting.minimum && value.get<int64_t>() <= setting.maximum;
            return isValid ? "" : concat(setting.minimum, "..", setting.maximum);
        }
        case SettingKind::Decimal: {
            const bool isValid = value.is_number() && value.get<double>() >= static_cast<double>(setting.minimum) && value.get<double>() <= static_cast<double>(setting.maximum);
            return isValid ? "" : concat(setting.minimum, "..", setting.maximum);
        }
        case SettingKind::Choice: {
            const std::vector<std::string_view> choices = splitText(setting.choices, '|');
            return isText && std::find(choices.begin(), choices.end(), text) != choices.end() ? "" : concat("one of ", joinText(choices, ", "));
        }
        }
        return "";
    }

    /** Calls @p visit with path and value for each leaf, which is any value but an object. */
    template <typename Visitor>
    void visitLeaves(const Json& json, const std::string& path, const Visitor& visit)
    {
        if (!json.is_object()) {
            visit(path, json);
            return;
        }
        for (const auto& [key, value] : json.items()) {
            visitLeaves(value, concat(path, "/", key), visit);
        }
    }

    /** True if a file with the content @p json must have the setting. */
    bool isRequiredIn(const SettingDescription& setting, const Json& json)
    {
        const auto has = [&json](std::string_view path) { return json.contains(Json::json_pointer(std::string(path))); };
        return setting.isRequired || (!setting.requiredWith.empty() && has(setting.requiredWith)) || (!setting.requiredWithout.empty() && !has(setting.requiredWithout));
    }

    /** The value as JSON for an error message, cut off if long. */
    std::string excerpt(const Json& value)
    {
        constexpr size_t maximumLength = 60;
        const std::string text = value.dump();
        return text.size() <= maximumLength ? text : concat(text.substr(0, maximumLength), "...");
    }

    /** Describes the valid values of a setting in few words. */
    std::string describeValues(const SettingDescription& setting)
    {
        switch (setting.kind) {
        case SettingKind::Name:
            return "name";
        case SettingKind::AddressText:
            return "address";
        case SettingKind::AddressList:
            return "list of addresses";
        case SettingKind::Url:
            return "URL";
        case SettingKind::Number:
        case SettingKind::Decimal:
            return concat(setting.minimum, "..", setting.maximum);
        case SettingKind::Choice:
            return joinText(splitText(setting.choices, '|'), ", ");
        }
        return "";
    }

} // namespace

std::string SettingValues::text(std::string_view path) const
{
    const auto found = this->values.find(path);
    return found == this->values.end() ? "" : found->second;
}

int64_t SettingValues::number(std::string_view path) const
{
    int64_t number = 0;
    return parseNumber(this->text(path), number) ? number : 0;
}

double SettingValues::decimal(std::string_view path) const
{
    double number = 0;
    return absl::SimpleAtod(this->text(path), &number) ? number : 0;
}

Address SettingValues::address(std::string_view path) const
{
    return parseAddress(this->text(path)).value_or(Address {});
}

std::vector<Address> SettingValues::addresses(std::string_view path) const
{
    std::vector<Address> result;
    for (const Json& entry : Json::parse(this->text(path))) {
        result.push_back(parseAddress(entry.get<std::string>()).value_or(Address {}));
    }
    return result;
}

absl::StatusOr<SettingValues> parseSettings(const SettingTable& table, std::string_view text)
{
    Json json;
    try {
        json = Json::parse(text);
    } catch (const Json::parse_error& error) {
        return absl::InvalidArgumentError(concat("byte ", error.byte, ": not JSON: ", error.what()));
    }
    if (!json.is_object()) {
        return absl::InvalidArgumentError("/: expected a JSON object");
    }
    SettingValues result;
    std::vector<std::string> faults;
    visitLeaves(json, "", [&](const std::string& path, const Json& value) {
        const auto setting = std::find_if(table.settings.begin(), table.settings.end(), [&path](const auto& entry) { return entry.path == path; });
        if (setting == table.settings.end()) {
            faults.push_back(concat(path, ": unknown setting: did you mean ", nearestPath(table, path), "?"));
            return;
        }
        const std::string expected = checkValue(*setting, value);
        if (!expected.empty()) {
            faults.push_back(concat(path, ": ", excerpt(value), ": expected ", expected));
        }
        result.values[path] = value.is_string() ? value.get<std::string>() : value.dump();
    });
    for (const SettingDescription& setting : table.settings) {
        if (result.values.contains(setting.path)) {
            continue;
        }
        if (isRequiredIn(setting, json)) {
            faults.push_back(concat(setting.path, ": missing: expected ", describeValues(setting)));
        }
        result.values[std::string(setting.path)] = std::string(setting.defaultValue);
    }
    if (!faults.empty()) {
        return absl::InvalidArgumentError(fmt::format("{}", fmt::join(faults, "\n")));
    }
    return result;
}

std::string formatSettingTable(const SettingTable& table)
{
    std::string result = concat("## ", table.program, "\n\n| setting | value | default | SIGHUP | meaning |\n| --- | --- | --- | --- | --- |\n");
    for (const SettingDescription& setting : table.settings) {
        const std::string_view defaultText = setting.isRequired ? "required" : (setting.defaultValue.empty() ? "none" : setting.defaultValue);
        appendText(result, "| `", setting.path, "` | ", describeValues(setting), " | ", defaultText, " | ", setting.isReloadable ? "yes" : "", " | ", setting.help, " |\n");
    }
    return result;
}

std::vector<std::string> changesNeedingRestart(const SettingTable& table, const SettingValues& before, const SettingValues& after)
{
    std::vector<std::string> paths;
    for (const SettingDescription& setting : table.settings) {
        if (!setting.isReloadable && before.text(setting.path) != after.text(setting.path)) {
            paths.emplace_back(setting.path);
        }
    }
    return paths;
}

namespace {

    constexpr double bytesPerMegabit = 125'000;

    /** The seeds, all with the port of /seeds_port if that is set. */
    std::vector<Address> seedsOf(const SettingValues& values)
    {
        std::vector<Address> seeds = values.addresses("/seeds");
        const auto port = static_cast<uint16_t>(values.number("/seeds_port"));
        std::for_each(seeds.begin(), seeds.end(), [port](Address& seed) { seed.port = port == 0 ? seed.port : port; });
        return seeds;
    }

    /** /bind, or /listen if that is not set. */
    Address bindAddressOf(const SettingValues& values)
    {
        const Address bind = values.address("/bind");
        return bind.isValid() ? bind : values.address("/listen");
    }

} // namespace

absl::StatusOr<BalancerProcessSettings> parseBalancerSettings(std::string_view json)
{
    const absl::StatusOr<SettingValues> values = parseSettings(balancerSettingTable, json);
    if (!values.ok()) {
        return values.status();
    }
    return BalancerProcessSettings {
        .listen = values->address("/listen"),
        .bind = bindAddressOf(*values),
        .clockOffset = values->milliseconds("/clock/offset_ms"),
        .zone = values->text("/zone"),
        .storeUrl = values->text("/store/url"),
        .storeDialect = values->text("/store/dialect"),
        .storeTimeout = values->milliseconds("/store/timeout_ms"),
        .leaseTime = values->seconds("/store/lease_s"),
        .readPeriod = values->seconds("/store/read_s"),
        .fleetReadPeriod = values->milliseconds("/store/fleet_read_ms"),
        .seeds = seedsOf(*values),
        .steering = values->text("/steering"),
        .fabricListen = values->address("/fabric/listen"),
        .fabricReady = values->address("/fabric/ready"),
        .outliersOneIn = static_cast<uint32_t>(values->number("/outliers/one_in")),
        .linger = values->milliseconds("/stop/linger_ms"),
        .linkBytesPerSecond = static_cast<uint64_t>(values->decimal("/limits/link_mbps") * bytesPerMegabit),
        .metrics = values->address("/metrics"),
        .logFormat = values->text("/log/format"),
        .logLevel = values->text("/log/level"),
    };
}

absl::StatusOr<AgentProcessSettings> parseAgentSettings(std::string_view json)
{
    const absl::StatusOr<SettingValues> values = parseSettings(agentSettingTable, json);
    if (!values.ok()) {
        return values.status();
    }
    if (!values->text("/upstream/url").empty() && !values->text("/upstream/packets").empty()) {
        return absl::InvalidArgumentError("/upstream/url: set together with /upstream/packets: expected only one of them");
    }
    return AgentProcessSettings {
        .listen = values->address("/listen"),
        .bind = bindAddressOf(*values),
        .clockOffset = values->milliseconds("/clock/offset_ms"),
        .zone = values->text("/zone"),
        .service = values->text("/service"),
        .upstreamUrl = values->text("/upstream/url"),
        .upstreamPackets = values->address("/upstream/packets"),
        .upstreamOutbound = values->address("/upstream/outbound"),
        .upstreamReports = values->address("/upstream/reports"),
        .reportPeriod = values->milliseconds("/upstream/report_ms"),
        .fabricListen = values->address("/fabric/listen"),
        .hasFlowDirectory = values->text("/flow_directory") == "on",
        .holdsRequests = values->text("/admission/hold_requests") == "on",
        .slots = static_cast<uint16_t>(values->number("/upstream/slots")),
        .healthPeriod = values->milliseconds("/upstream/health_ms"),
        .returnAddress = values->address("/return"),
        .storeUrl = values->text("/store/url"),
        .storeDialect = values->text("/store/dialect"),
        .storeTimeout = values->milliseconds("/store/timeout_ms"),
        .seeds = seedsOf(*values),
        .drainTime = values->seconds("/stop/drain_s"),
        .linger = values->milliseconds("/stop/linger_ms"),
        .metrics = values->address("/metrics"),
        .logFormat = values->text("/log/format"),
        .logLevel = values->text("/log/level"),
    };
}

} // namespace lavender
