/** @file trace.cpp Parser of traces: checks each JSON line against the table of its fields. */
#include "replay/trace_type.h"

#include "core/address_type.h"
#include "core/text_func.h"

#include <algorithm>
#include <array>
#include <set>

namespace lavender {

namespace {

    using Json = nlohmann::json;

    enum class FieldKind : uint8_t {
        Text,
        Number, ///< Integer or floating-point number, not negative.
        Flag,
        List, ///< Array; its elements are checked separately.
        Object,
    };

    /** Field of a JSON object. */
    struct Field {
        std::string_view name;
        FieldKind kind;
        bool isRequired;
    };

    /** Value of "do" and the fields of such a line. */
    struct EventKind {
        std::string_view name; ///< Value of "do".
        std::span<const Field> fields;
    };

    constexpr Field atField { "at_ms", FieldKind::Number, true };
    constexpr Field doField { "do", FieldKind::Text, true };
    constexpr std::array nameFields { atField, doField, Field { "name", FieldKind::Text, true } };
    constexpr std::array pauseFields {
        atField,
        doField,
        Field { "name", FieldKind::Text, true },
        Field { "for_ms", FieldKind::Number, true },
    };
    constexpr std::array joinFields {
        atField,
        doField,
        Field { "name", FieldKind::Text, true },
        Field { "zone", FieldKind::Text, true },
    };
    constexpr std::array slowFields {
        atField,
        doField,
        Field { "name", FieldKind::Text, true },
        Field { "work_ms", FieldKind::Number, true },
    };
    constexpr std::array lieFields {
        atField,
        doField,
        Field { "name", FieldKind::Text, true },
        Field { "is_lying", FieldKind::Flag, true },
    };
    constexpr std::array zoneFields { atField, doField, Field { "zone", FieldKind::Text, true } };
    constexpr std::array flowFields {
        atField,
        doField,
        Field { "service", FieldKind::Text, true },
        Field { "count", FieldKind::Number, true },
        Field { "over_ms", FieldKind::Number, false },
        Field { "period_ms", FieldKind::Number, false },
        Field { "repeatable", FieldKind::Flag, false },
        Field { "body_bytes", FieldKind::Number, false },
    };
    constexpr std::array arrivalFields {
        atField,
        doField,
        Field { "service", FieldKind::Text, true },
        Field { "per_second", FieldKind::Number, true },
        Field { "until_ms", FieldKind::Number, true },
        Field { "repeatable", FieldKind::Flag, false },
        Field { "body_bytes", FieldKind::Number, false },
    };
    constexpr std::array rulesFields { atField, doField, Field { "add", FieldKind::List, true } };
    constexpr std::array storeFields {
        atField,
        doField,
        Field { "down", FieldKind::Flag, false },
        Field { "delay_ms", FieldKind::Number, false },
        Field { "lose_answers", FieldKind::Number, false },
    };
    constexpr std::array linkFields {
        atField,
        doField,
        Field { "loss_ppm", FieldKind::Number, false },
        Field { "duplicate_ppm", FieldKind::Number, false },
        Field { "delay_us", FieldKind::Number, false },
        Field { "jitter_us", FieldKind::Number, false },
        Field { "control_loss_ppm", FieldKind::Number, false },
    };
    constexpr std::array partitionFields { atField, doField, Field { "zones", FieldKind::List, true } };
    constexpr std::array healFields { atField, doField };

    constexpr std::array<EventKind, 20> eventKinds { {
        { "flows", flowFields },
        { "arrivals", arrivalFields },
        { "balancer_dies", nameFields },
        { "balancer_stops", nameFields },
        { "balancer_joins", joinFields },
        { "balancer_pauses", pauseFields },
        { "upstream_drains", nameFields },
        { "upstream_dies", nameFields },
        { "upstream_returns", nameFields },
        { "upstream_cold", nameFields },
        { "upstream_slows", slowFields },
        { "upstream_lies", lieFields },
        { "upstream_down", lieFields },
        { "agent_pauses", pauseFields },
        { "zone_out", zoneFields },
        { "zone_in", zoneFields },
        { "rules", rulesFields },
        { "store", storeFields },
        { "link", linkFields },
        { "partition", partitionFields },
    } };

    constexpr std::array serviceFields {
        Field { "name", FieldKind::Text, true },
        Field { "slots", FieldKind::Number, true },
        Field { "connections", FieldKind::Number, false },
        Field { "ramp_ms", FieldKind::Number, false },
    };
    constexpr std::array balancerFields {
        Field { "name", FieldKind::Text, true },
        Field { "zone", FieldKind::Text, true },
    };
    constexpr std::array upstreamFields {
        Field { "name", FieldKind::Text, true },
        Field { "service", FieldKind::Text, true },
        Field { "zone", FieldKind::Text, true },
        Field { "work_ms", FieldKind::Number, false },
        Field { "cold_ms", FieldKind::Number, false },
        Field { "is_cold", FieldKind::Flag, false },
    };
    constexpr std::array setupFields {
        Field { "services", FieldKind::List, true },
        Field { "balancers", FieldKind::List, true },
        Field { "upstreams", FieldKind::List, true },
        Field { "end_ms", FieldKind::Number, true },
    };
    constexpr std::array expectFields {
        Field { "expect", FieldKind::Text, true },
        Field { "service", FieldKind::Text, false },
        Field { "zone", FieldKind::Text, false },
        Field { "at_most", FieldKind::Number, false },
        Field { "at_least", FieldKind::Number, false },
    };

    constexpr std::array<std::string_view, 23> figureNames {
        "broken_flows",
        "unopened_flows",
        "given_up_flows",
        "given_up_elsewhere",
        "opened_flows",
        "duplicated_requests",
        "false_not_run",
        "wrong_answers",
        "wrong_service",
        "answered",
        "not_run",
        "may_have_run",
        "overloads",
        "work_after_drain",
        "two_owners",
        "revision_reverts",
        "imbalance_mean",
        "imbalance_p99",
        "quiet_ms",
        "in_force_ms",
        "extra_hops",
        "store_writes",
        "store_reads",
    };

    std::string_view describeKind(FieldKind kind)
    {
        switch (kind) {
        case FieldKind::Text:
            return "a string";
        case FieldKind::Number:
            return "a number of 0 or more";
        case FieldKind::Flag:
            return "true or false";
        case FieldKind::List:
            return "a list";
        case FieldKind::Object:
            return "an object";
        }
        return "";
    }

    bool isOfKind(const Json& value, FieldKind kind)
    {
        switch (kind) {
        case FieldKind::Text:
            return value.is_string();
        case FieldKind::Number:
            return value.is_number() && value.get<double>() >= 0;
        case FieldKind::Flag:
            return value.is_boolean();
        case FieldKind::List:
            return value.is_array();
        case FieldKind::Object:
            return value.is_object();
        }
        return false;
    }

    /** Checks the fields of an object. @return Description of the first error; empty where there is none. */
    std::string checkFields(const Json& json, std::span<const Field> fields)
    {
        if (!json.is_object()) {
            return "expected an object";
        }
        for (const auto& [name, value] : json.items()) {
            const auto field = std::find_if(fields.begin(), fields.end(), [&key = name](const Field& entry) { return entry.name == key; });
            if (field == fields.end()) {
                std::vector<std::string_view> names;
                std::transform(fields.begin(), fields.end(), std::back_inserter(names), [](const Field& entry) { return entry.name; });
                return concat("\"", name, "\": unknown field: expected one of ", joinText(names, ", "));
            }
            if (!isOfKind(value, field->kind)) {
                return concat("\"", name, "\": ", value.dump(), ": expected ", describeKind(field->kind));
            }
        }
        for (const Field& field : fields) {
            if (field.isRequired && !json.contains(field.name)) {
                return concat("\"", field.name, "\": missing: expected ", describeKind(field.kind));
            }
        }
        return "";
    }

    /** Checks the fields of each object of a list. @return Description of the first error; empty where there is none. */
    std::string checkList(const Json& list, std::string_view name, std::span<const Field> fields)
    {
        for (const Json& entry : list) {
            if (std::string error = checkFields(entry, fields); !error.empty()) {
                return concat("\"", name, "\": ", error);
            }
        }
        return "";
    }

    /** Checks the setup and its lists. @return Description of the first error; empty where there is none. */
    std::string checkSetup(const Json& setup)
    {
        for (const std::string& error : { checkFields(setup, setupFields),
                 setup.is_object() && setup.contains("services") ? checkList(setup["services"], "services", serviceFields) : "",
                 setup.is_object() && setup.contains("balancers") ? checkList(setup["balancers"], "balancers", balancerFields) : "",
                 setup.is_object() && setup.contains("upstreams") ? checkList(setup["upstreams"], "upstreams", upstreamFields) : "" }) {
            if (!error.empty()) {
                return error;
            }
        }
        return "";
    }

    /** Fills @p expectation. @return Description of the first error; empty where there is none. */
    std::string parseExpectation(const Json& json, TraceExpectation& expectation)
    {
        if (std::string error = checkFields(json, expectFields); !error.empty()) {
            return error;
        }
        expectation.figure = json["expect"].get<std::string>();
        if (std::find(figureNames.begin(), figureNames.end(), expectation.figure) == figureNames.end()) {
            return concat("\"expect\": \"", expectation.figure, "\": expected one of ", joinText({ figureNames.begin(), figureNames.end() }, ", "));
        }
        if (json.contains("at_most") == json.contains("at_least")) {
            return "expected either \"at_most\" or \"at_least\"";
        }
        expectation.isUpperBound = json.contains("at_most");
        expectation.bound = json[expectation.isUpperBound ? "at_most" : "at_least"].get<double>();
        expectation.subject = json.value("service", json.value("zone", ""));
        return "";
    }

    /** Fills @p event. @return Description of the first error; empty where there is none. */
    std::string parseEvent(const Json& json, TraceEvent& event)
    {
        const std::string name = json["do"].is_string() ? json["do"].get<std::string>() : "";
        const auto kind = std::find_if(eventKinds.begin(), eventKinds.end(), [&name](const EventKind& entry) { return entry.name == name; });
        if (kind == eventKinds.end() && name != "heal") {
            std::vector<std::string_view> names { "heal" };
            std::transform(eventKinds.begin(), eventKinds.end(), std::back_inserter(names), [](const EventKind& entry) { return entry.name; });
            return concat("\"do\": \"", name, "\": expected one of ", joinText(names, ", "));
        }
        if (std::string error = checkFields(json, name == "heal" ? std::span<const Field>(healFields) : kind->fields); !error.empty()) {
            return error;
        }
        event.kind = name;
        event.at = std::chrono::milliseconds(json["at_ms"].get<int64_t>());
        event.fields = json;
        return "";
    }

    /** Checks that the names in an event are known. @return Description of the first error; empty where there is none. */
    std::string checkNames(const TraceEvent& event, const std::set<std::string>& known)
    {
        for (const char* field : { "name", "service", "zone" }) {
            const bool isNew = event.kind == "balancer_joins";
            if (!isNew && event.fields.contains(field) && !known.contains(event.fields[field].get<std::string>())) {
                return concat("\"", field, "\": \"", event.fields[field].get<std::string>(), "\": expected a name from the setup or from an earlier balancer_joins line");
            }
        }
        return "";
    }

    /** Names of services, balancers, upstreams and zones. */
    std::set<std::string> namesInSetup(const Json& setup)
    {
        std::set<std::string> names;
        for (const char* list : { "services", "balancers", "upstreams" }) {
            for (const Json& entry : setup[list]) {
                names.insert(entry["name"].get<std::string>());
                names.insert(entry.value("zone", ""));
            }
        }
        return names;
    }

    /** Adds a line to @p trace. @return Description of the first error; empty where there is none. */
    std::string parseLine(const Json& json, size_t number, Trace& trace)
    {
        if (!json.is_object()) {
            return "not a JSON object";
        }
        if (json.contains("setup")) {
            if (!trace.setup.is_null()) {
                return "\"setup\": repeated: expected only on the first line";
            }
            trace.setup = json["setup"];
            return checkSetup(trace.setup);
        }
        if (trace.setup.is_null()) {
            return "expected {\"setup\": ...} first";
        }
        if (json.contains("expect")) {
            TraceExpectation expectation { .line = number };
            std::string error = parseExpectation(json, expectation);
            trace.expectations.push_back(expectation);
            return error;
        }
        if (json.contains("do")) {
            TraceEvent event { .line = number };
            std::string error = parseEvent(json, event);
            trace.events.push_back(event);
            return error;
        }
        return "expected \"setup\", \"do\" or \"expect\"";
    }

} // namespace

absl::StatusOr<Trace> parseTrace(std::string_view text)
{
    Trace trace;
    size_t number = 0;
    std::set<std::string> names;
    for (std::string_view line : splitText(text, '\n')) {
        ++number;
        const bool isBlank = line.find_first_not_of(" \t\r") == std::string_view::npos;
        if (isBlank || line.starts_with("//")) {
            continue;
        }
        const size_t before = trace.events.size();
        std::string error = parseLine(Json::parse(line, nullptr, false), number, trace);
        if (error.empty() && trace.events.size() > before) {
            names = names.empty() ? namesInSetup(trace.setup) : names;
            const TraceEvent& event = trace.events.back();
            error = checkNames(event, names);
            names.insert(event.kind == "balancer_joins" ? event.fields["name"].get<std::string>() : "");
        }
        if (!error.empty()) {
            return absl::InvalidArgumentError(concat("line ", number, ": ", error));
        }
    }
    if (trace.setup.is_null()) {
        return absl::InvalidArgumentError("line 1: expected {\"setup\": ...}");
    }
    std::stable_sort(trace.events.begin(), trace.events.end(), [](const TraceEvent& left, const TraceEvent& right) { return left.at < right.at; });
    return trace;
}

} // namespace lavender
