/** @file rule_parser.cpp One rule a line, each with a comment that names who asked. */
#include "config/rule_func.h"

#include "config/rule_line.h"
#include "core/hash_func.h"
#include "core/text_func.h"
#include "wire/message_type.h"

#include <algorithm>
#include <array>
#include <optional>

namespace lavender {

namespace {

    constexpr uint32_t maximumSlots = 600; ///< Weights on the wire hold hundredths of a slot in 16 bits.
    constexpr uint32_t maximumConnections = 1'000'000;
    constexpr uint32_t maximumRampMilliseconds = 3'600'000;
    constexpr uint32_t maximumGoalMilliseconds = 600'000;
    constexpr uint32_t maximumColdOpenings = 1'000'000; ///< A second.

    /** Walks over the words of one line and notes what is wrong with them. */
    class LineReader {
    public:
        LineReader(const Line& line, std::vector<RuleFault>& faults)
            : line(line)
            , faults(faults)
        {
        }

        bool isAtEnd() const { return this->next == this->line.words.size(); }

        void fail(RulePosition position, std::string text) { this->faults.push_back({ position, std::move(text) }); }

        void failHere(std::string_view expected)
        {
            if (this->isAtEnd()) {
                this->fail(this->line.end, concat("line ends: expected ", expected));
                return;
            }
            const Word& word = this->line.words[this->next];
            this->fail(word.position, concat("\"", word.text, "\": expected ", expected));
        }

        std::optional<Word> take(std::string_view expected)
        {
            if (this->isAtEnd()) {
                this->failHere(expected);
                return std::nullopt;
            }
            return this->line.words[this->next++];
        }

        std::optional<std::string> takeName(std::string_view expected)
        {
            if (this->isAtEnd() || !isNameText(this->line.words[this->next].text, maximumNameBytes)) {
                this->failHere(concat(expected, " of a-z, 0-9 and -, at most ", maximumNameBytes, " characters"));
                return std::nullopt;
            }
            return std::string(this->line.words[this->next++].text);
        }

        std::optional<Address> takeAddress()
        {
            if (!this->isAtEnd()) {
                const absl::StatusOr<Address> address = parseAddress(this->line.words[this->next].text);
                if (address.ok()) {
                    ++this->next;
                    return *address;
                }
            }
            this->failHere("an address A.B.C.D:PORT with port 1..65535");
            return std::nullopt;
        }

        std::optional<uint32_t> takeNumber(uint32_t low, uint32_t high)
        {
            uint32_t number = 0;
            if (this->isAtEnd() || !parseNumber(this->line.words[this->next].text, number) || number < low || number > high) {
                this->failHere(concat("a number ", low, "..", high));
                return std::nullopt;
            }
            ++this->next;
            return number;
        }

        bool takeWord(std::string_view expected)
        {
            if (this->isAtEnd() || this->line.words[this->next].text != expected) {
                this->failHere(concat("\"", expected, "\""));
                return false;
            }
            ++this->next;
            return true;
        }

        bool isNext(std::string_view word) const { return !this->isAtEnd() && this->line.words[this->next].text == word; }

        RulePosition position() const { return this->isAtEnd() ? this->line.end : this->line.words[this->next].position; }
        RulePosition start() const { return this->line.words.front().position; }

    private:
        const Line& line;
        std::vector<RuleFault>& faults;
        size_t next = 1;
    };

    void readServiceOptions(LineReader& reader, ServiceRule& rule)
    {
        while (!reader.isAtEnd()) {
            const std::optional<Word> option = reader.take("an option");
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
                number = reader.takeNumber(0, maximumColdOpenings);
                rule.coldOpeningsPerSecond = number;
            } else if (option->text == "warmup") {
                number = reader.takeNumber(0, maximumRampMilliseconds);
                rule.warmUp = std::chrono::milliseconds(number.value_or(0));
            } else {
                reader.fail(option->position, concat("\"", option->text, "\": expected \"slots\", \"connections\", \"ramp\", \"cold\" or \"warmup\""));
            }
            if (!number.has_value()) {
                return;
            }
        }
    }

    void readService(LineReader& reader, Configuration& configuration)
    {
        const std::optional<std::string> name = reader.takeName("a service name");
        if (!name) {
            return;
        }
        ServiceRule rule { .name = *name, .nameHash = hashText(*name) };
        if (reader.isNext("at")) {
            (void)reader.takeWord("at");
            const RulePosition addressPosition = reader.position();
            const std::optional<Address> address = reader.takeAddress();
            if (!address) {
                return;
            }
            if (configuration.serviceByAddress.contains(*address)) {
                reader.fail(addressPosition, concat("address ", formatAddress(*address), " belongs to another service: expected a free one"));
                return;
            }
            rule.address = *address;
        }
        readServiceOptions(reader, rule);
        if (configuration.findService(*name) != nullptr) {
            reader.fail(reader.start(), concat("service \"", *name, "\" stands twice: expected one line a service"));
            return;
        }
        const ServiceId id { static_cast<uint32_t>(configuration.services.size()) };
        if (rule.address.isValid()) {
            configuration.serviceByAddress[rule.address] = id;
        }
        configuration.serviceByHash[rule.nameHash] = id;
        configuration.services.push_back(std::move(rule));
    }

    void readRoute(LineReader& reader, Configuration& configuration)
    {
        const RulePosition addressPosition = reader.position();
        const std::optional<Address> address = reader.takeAddress();
        if (!address || !reader.takeWord("to")) {
            return;
        }
        const RulePosition namePosition = reader.position();
        const std::optional<std::string> name = reader.takeName("a service name");
        if (!name) {
            return;
        }
        const ServiceRule* service = configuration.findService(*name);
        if (service == nullptr) {
            reader.fail(namePosition, concat("\"", *name, "\": expected the name of a service that stands above"));
            return;
        }
        if (!configuration.serviceByAddress.emplace(*address, configuration.serviceByHash[service->nameHash]).second) {
            reader.fail(addressPosition, concat("address ", formatAddress(*address), " belongs to another service: expected a free one"));
            return;
        }
        if (reader.isNext("goal")) {
            (void)reader.takeWord("goal");
            const std::optional<uint32_t> goal = reader.takeNumber(1, maximumGoalMilliseconds);
            configuration.latencyGoals[*address] = std::chrono::milliseconds(goal.value_or(1));
        }
    }

    void readAnnounce(LineReader& reader, Configuration& configuration)
    {
        const std::optional<std::string> service = reader.takeName("a service name");
        if (!service || !reader.takeWord("in")) {
            return;
        }
        if (reader.isNext(anyZone)) {
            (void)reader.takeWord(anyZone);
            configuration.announcers.insert({ *service, std::string(anyZone) });
            return;
        }
        const std::optional<std::string> zone = reader.takeName("an availability zone");
        if (!zone) {
            return;
        }
        configuration.announcers.insert({ *service, *zone });
        configuration.zones.insert(*zone);
    }

    void readZone(LineReader& reader, Configuration& configuration)
    {
        const std::optional<std::string> zone = reader.takeName("an availability zone");
        if (!zone) {
            return;
        }
        const RulePosition position = reader.position();
        const std::optional<Word> state = reader.take("\"in\", \"out\" or \"drain\"");
        if (!state) {
            return;
        }
        if (state->text != "in" && state->text != "out" && state->text != "drain") {
            reader.fail(position, concat("\"", state->text, "\": expected \"in\", \"out\" or \"drain\""));
            return;
        }
        configuration.zones.insert(*zone);
        if (state->text == "out") {
            configuration.zonesOut.insert(*zone);
        } else if (state->text == "drain") {
            configuration.zonesDraining.insert(*zone);
        }
    }

    void readDrain(LineReader& reader, Configuration& configuration)
    {
        const std::optional<Address> agent = reader.takeAddress();
        if (agent) {
            configuration.drained.insert(*agent);
        }
    }

    void readWeight(LineReader& reader, Configuration& configuration)
    {
        const std::optional<Address> agent = reader.takeAddress();
        if (!agent) {
            return;
        }
        const std::optional<uint32_t> percent = reader.takeNumber(0, 100);
        if (percent) {
            configuration.weights[*agent] = static_cast<uint16_t>(*percent);
        }
    }

    struct RuleKind {
        std::string_view word;
        void (*read)(LineReader&, Configuration&);
    };

    constexpr std::array<RuleKind, 6> ruleKinds { {
        { "service", readService },
        { "route", readRoute },
        { "announce", readAnnounce },
        { "zone", readZone },
        { "drain", readDrain },
        { "weight", readWeight },
    } };

    void readLine(const Line& line, Configuration& configuration, std::vector<RuleFault>& faults)
    {
        LineReader reader(line, faults);
        const Word& first = line.words.front();
        const auto kind = std::find_if(ruleKinds.begin(), ruleKinds.end(), [&first](const RuleKind& entry) { return entry.word == first.text; });
        if (kind == ruleKinds.end()) {
            reader.fail(first.position, concat("\"", first.text, "\": expected one of service, route, announce, zone, drain, weight"));
            return;
        }
        const size_t before = faults.size();
        kind->read(reader, configuration);
        if (faults.size() == before && !reader.isAtEnd()) {
            reader.failHere("the end of the rule");
        }
        if (!line.hasComment || line.comment.empty()) {
            reader.fail(line.end, "no comment: expected \"# WHO ASKED\" behind the rule");
        }
    }

    /** A rule that names a service or zone must name one that the file has. */
    void checkReferences(const ParsedRules& parsed, const std::map<std::string, RulePosition>& announcedAt, std::vector<RuleFault>& faults)
    {
        for (const auto& [service, position] : announcedAt) {
            if (parsed.configuration.findService(service) == nullptr) {
                faults.push_back({ position, concat("\"", service, "\": expected the name of a service of this file") });
            }
        }
    }

} // namespace

bool Configuration::mayAnnounce(const std::string& service, const std::string& zone) const
{
    return this->announcers.contains({ service, zone }) || this->announcers.contains({ service, std::string(anyZone) });
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
    std::map<std::string, RulePosition> announcedAt;
    size_t number = 0;
    for (std::string_view lineText : splitText(text, '\n')) {
        const Line line = splitLine(lineText, ++number);
        if (line.words.empty()) {
            continue;
        }
        readLine(line, parsed.configuration, parsed.faults);
        if (line.words.size() > 1 && line.words[0].text == "announce") {
            announcedAt.emplace(std::string(line.words[1].text), line.words[1].position);
        }
    }
    checkReferences(parsed, announcedAt, parsed.faults);
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
