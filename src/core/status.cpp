/** @file status.cpp Formats the status object with nlohmann::json. */
#include "core/status_func.h"

#include <nlohmann/json.hpp>

namespace lavender {

std::string formatStatus(const StatusView& view)
{
    nlohmann::ordered_json json {
        { "role", view.role },
        { "address", formatAddress(view.address) },
        { "zone", view.zone },
        { "revision", view.revision.position.number },
        { "era", view.revision.position.era },
        { "version", view.revision.version },
        { "revision_age_ms", toMilliseconds(view.revisionAge) },
    };
    if (!view.service.empty()) {
        json["service"] = view.service;
        json["state"] = view.state;
    }
    for (const auto& [name, number] : view.gauges) {
        json[std::string(name)] = number;
    }
    for (size_t index = 0; index < counterTable.size(); ++index) {
        const uint64_t value = view.counters->get(static_cast<Counter>(index));
        if (value != 0) {
            json["counters"][std::string(counterTable[index].name)] = value;
        }
    }
    return json.dump();
}

} // namespace lavender
