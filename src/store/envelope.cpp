/** @file envelope.cpp Reads and writes the JSON value of rulesKey. */
#include "store/store_base.h"

#include "core/json_func.h"

#include <nlohmann/json.hpp>

namespace lavender {

namespace {

    using Json = nlohmann::json;

} // namespace

std::string formatEnvelope(const RulesEnvelope& envelope)
{
    return Json {
        { "change", envelope.change },
        { "who", envelope.who },
        { "rules", envelope.rules },
        { "previous", envelope.previous },
        { "version", envelope.version },
    }
        .dump();
}

absl::StatusOr<RulesEnvelope> parseEnvelope(std::string_view text)
{
    const Json json = parseJson(text);
    const auto isText = [&json](const char* name) { return json.contains(name) && json[name].is_string(); };
    if (!json.is_object() || !isText("change") || !isText("who") || !isText("rules")) {
        return absl::InvalidArgumentError("rules in the store: expected an object with change, who and rules");
    }
    RulesEnvelope envelope { json["change"], json["who"], json["rules"], {} };
    const auto version = json.find("version");
    envelope.version = version != json.end() && version->is_number_unsigned() ? version->get<uint64_t>() : 0;
    for (const Json& change : json.value("previous", Json::array())) {
        envelope.previous.push_back(change.is_string() ? change.get<std::string>() : "");
    }
    return envelope;
}

} // namespace lavender
