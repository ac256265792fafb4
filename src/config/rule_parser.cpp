/** @file rule_parser.cpp Parser of the rules: one rule per line, each with a comment that names the requester. */
#include "config/rule_func.h"

#include "config/rule_reader.h"
#include "config/rule_route.h"
#include "core/hash_func.h"
#include "core/text_func.h"
#include "wire/message_type.h"

#include <algorithm>
#include <array>
#include <optional>

namespace lavender {

namespace {

    constexpr uint32_t maximumSlots = 600; ///< Limited because MemberRecord::weight holds hundredths of a slot in 16 bits.
    constexpr uint32_t maximumConnections = 1'000'000;
    constexpr uint32_t maximumRampMilliseconds = 3'600'000;
    constexpr uint32_t maximumColdOpeningsPerSecond = 1'000'000;

    void parseServiceOptions(LineReader& reader, ServiceRule& rule)
    {
        while (!reader.isAtEnd()) {
            const std::optional<Word> option = reader.takeAnyWord("an option");
            std::optional<uint32_t> number;
            if (option->text == "slots") {
                number = reader.takeNumber(1, maximumSlots);
                rule.slots = static_cast<uint16_t>(number.value_or(1));
            } else if (option->text == "connections") {
                number = reader.takeNumber(1, maximumConnections);
                rule.connections = number.value_or(1);
            } else if (option->text == "ramp") {
                number = reader.takeNumber(0, maximumRampMilliseconds);
                rule.ramp = std::chrono::milliseconds(number.value_or(0));
            } else if (option->text == "cold") {
                number = reader.takeNumber(0, maximumColdOpeningsPerSecond);
                rule.coldOpeningsPerSecond = number;
            } else if (option->text == "warmup") {
                number = reader.takeNumber(0, maximumRampMilliseconds);
                rule.warmUp = std::chrono::milliseconds(number.value_or(0));
            } else {
                reader.addFault(option->position,
                    concat("\"", option->text, "\": expected \"slots\", \"connections\", \"ramp\", \"cold\" or \"warmup\""));
            }
            if (!number.has_value()) {
                return;
            }
        }
    }

    void parseService(LineReader& reader, Configuration& configuration)
    {
        const std::optional<std::string> name = reader.takeName("a service name");
        if (!name) {
            return;
        }
        ServiceRule rule { .name = *name, .nameHash = hashText(*name) };
        if (reader.isNext("at")) {
            (void)reader.takeKeyword("at");
            const RulePosition addressPosition = reader.position();
            const std::optional<Address> address = reader.takeAddress();
            if (!address) {
                return;
            }
            if (configuration.serviceByAddress.contains(*address)) {
                reader.addFault(addressPosition,
                    concat("address ", formatAddress(*address), " is already used by a service or route: expected an unused one"));
                return;
            }
            rule.address = *address;
        }
        parseServiceOptions(reader, rule);
        if (configuration.findService(*name) != nullptr) {
            reader.addFault(reader.start(), concat("service \"", *name, "\" is already defined: expected one service rule per service"));
            return;
        }
        const ServiceId id { static_cast<uint32_t>(configuration.services.size()) };
        if (rule.address.isValid()) {
            configuration.serviceByAddress[rule.address] = id;
        }
        configuration.serviceByHash[rule.nameHash] = id;
        configuration.services.push_back(std::move(rule));
    }

    void parseAnnounce(LineReader& reader, Configuration& configuration)
    {
        const std::optional<std::string> service = reader.takeName("a service name");
        if (!service || !reader.takeKeyword("in")) {
            return;
        }
        if (reader.isNext(anyZone)) {
            (void)reader.takeKeyword(anyZone);
            configuration.announcePermissions.insert({ *service, std::string(anyZone) });
            return;
        }
        const std::optional<std::string> zone = reader.takeName("an availability zone");
        if (!zone) {
            return;
        }
        configuration.announcePermissions.insert({ *service, *zone });
        configuration.zones.insert(*zone);
    }

    void parseZone(LineReader& reader, Configuration& configuration)
    {
        const std::optional<std::string> zone = reader.takeName("an availability zone");
        if (!zone) {
            return;
        }
        const RulePosition position = reader.position();
        const std::optional<Word> state = reader.takeAnyWord("\"in\", \"out\" or \"drain\"");
        if (!state) {
            return;
        }
        if (state->text != "in" && state->text != "out" && state->text != "drain") {
            reader.addFault(position, concat("\"", state->text, "\": expected \"in\", \"out\" or \"drain\""));
            return;
        }
        configuration.zones.insert(*zone);
        if (state->text == "out") {
            configuration.zonesOut.insert(*zone);
        } else if (state->text == "drain") {
            configuration.zonesDraining.insert(*zone);
        }
    }

    void parseDrain(LineReader& reader, Configuration& configuration)
    {
        const std::optional<Address> agent = reader.takeAddress();
        if (agent) {
            configuration.drainedAgents.insert(*agent);
        }
    }

    void parseWeight(LineReader& reader, Configuration& configuration)
    {
        const std::optional<Address> agent = reader.takeAddress();
        if (!agent) {
            return;
        }
        const std::optional<uint32_t> percent = reader.takeNumber(0, 100);
        if (percent) {
            configuration.agentWeightPercents[*agent] = static_cast<uint16_t>(*percent);
        }
    }

    /** Keyword that begins a rule, and the function that parses the rest of the line. */
    struct RuleParser {
        std::string_view keyword;
        void (*parse)(LineReader&, Configuration&);
    };

    constexpr std::array<RuleParser, 6> ruleParsers { {
        { "service", parseService },
        { "route", parseRoute },
        { "announce", parseAnnounce },
        { "zone", parseZone },
        { "drain", parseDrain },
        { "weight", parseWeight },
    } };

    void parseLine(const Line& line, Configuration& configuration, std::vector<RuleFault>& faults)
    {
        LineReader reader(line, faults);
        const Word& first = line.words.front();
        const auto parser = std::find_if(ruleParsers.begin(), ruleParsers.end(),
            [&first](const RuleParser& entry) { return entry.keyword == first.text; });
        if (parser == ruleParsers.end()) {
            reader.addFault(first.position, concat("\"", first.text, "\": expected one of service, route, announce, zone, drain, weight"));
            return;
        }
        const size_t faultsBefore = faults.size();
        parser->parse(reader, configuration);
        if (faults.size() == faultsBefore && !reader.isAtEnd()) {
            reader.addFaultAtNextWord("the end of the rule");
        }
        if (!line.hasComment || line.comment.empty()) {
            reader.addFault(line.end, "no comment: expected \"# WHO ASKED\" after the rule");
        }
    }

    /** Adds a fault for each announced service that the file defines neither above nor below, at its first announce rule. */
    void checkAnnouncedServices(const ParsedRules& parsed, const std::map<std::string, RulePosition>& announcedServices,
        std::vector<RuleFault>& faults)
    {
        for (const auto& [service, position] : announcedServices) {
            if (parsed.configuration.findService(service) == nullptr) {
                faults.push_back({ position, concat("\"", service, "\": expected the name of a service defined in this file") });
            }
        }
    }

} // namespace

bool Configuration::mayAnnounce(const std::string& service, const std::string& zone) const
{
    return this->announcePermissions.contains({ service, zone }) || this->announcePermissions.contains({ service, std::string(anyZone) });
}

const ServiceRule* Configuration::findService(std::string_view name) const
{
    const auto found = this->serviceByHash.find(hashText(name));
    return found == this->serviceByHash.end() ? nullptr : &this->services[found->second.value];
}

ParsedRules parseRules(std::string_view text)
{
    ParsedRules parsed;
    if (text.size() > maximumRulesBytes) {
        parsed.faults.push_back({ { 1, 1 }, concat("file of ", text.size(), " bytes: expected at most ", maximumRulesBytes) });
        return parsed;
    }
    std::map<std::string, RulePosition> announcedServices;
    size_t number = 0;
    for (std::string_view lineText : splitText(text, '\n')) {
        const Line line = splitLine(lineText, ++number);
        if (line.words.empty()) {
            continue;
        }
        parseLine(line, parsed.configuration, parsed.faults);
        if (line.words.size() > 1 && line.words[0].text == "announce") {
            announcedServices.emplace(std::string(line.words[1].text), line.words[1].position);
        }
    }
    checkAnnouncedServices(parsed, announcedServices, parsed.faults);
    std::sort(parsed.faults.begin(), parsed.faults.end(), [](const RuleFault& left, const RuleFault& right) {
        return std::pair(left.position.line, left.position.column) < std::pair(right.position.line, right.position.column);
    });
    parsed.configuration.text = std::string(text);
    return parsed;
}

std::string formatFaults(std::string_view file, const std::vector<RuleFault>& faults)
{
    std::string result;
    for (const RuleFault& fault : faults) {
        appendText(result, file, ":", fault.position.line, ":", fault.position.column, ": ", fault.text, "\n");
    }
    return result;
}

} // namespace lavender
