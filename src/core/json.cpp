/** @file json.cpp Parses JSON with a limit on its depth. */
#include "core/json_func.h"

namespace lavender {

nlohmann::json parseJson(std::string_view text)
{
    const auto isWithinLimit = [](int depth, nlohmann::json::parse_event_t /*event*/, nlohmann::json& /*value*/) { return depth <= maximumJsonDepth; };
    return nlohmann::json::parse(text, isWithinLimit, false);
}

} // namespace lavender
