/** @file ctl_main.cpp lavenderctl: the operators' command. */
#include "config/rule_func.h"
#include "core/text_func.h"
#include "daemon/process_base.h"
#include "daemon/program_func.h"
#include "settings/setting_func.h"
#include "store/commit.h"
#include "store/http_store.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>

namespace lavender {

namespace {

    namespace options = boost::program_options;
    using Json = nlohmann::ordered_json;

    constexpr int exitDone = 0;
    constexpr int exitRefused = 1;
    constexpr int exitUsage = 2;
    constexpr int exitUnavailable = 3;
    constexpr int exitUnknown = 5;
    constexpr Duration storeTimeout = 2s;
    constexpr Duration statusWait = 1s;

    constexpr std::string_view helpText = "Usage: lavenderctl COMMAND [ARGUMENTS] [OPTIONS]\n\n"
                                          "Commands\n"
                                          "  check FILE                 check a rules file; - is standard input\n"
                                          "  apply FILE                 put a rules file in force\n"
                                          "  show                       print the rules in the store\n"
                                          "  zone out|in ZONE           take an availability zone out, or back in\n"
                                          "  drain|undrain ADDRESS      let the upstream behind an agent leave, or stay\n"
                                          "  status [ADDRESS...]        ask processes for their state; without addresses, all balancers in the store\n"
                                          "  settings                   print the settings of the daemons as Markdown\n\n";

    constexpr std::string_view exitText = "\nExit codes: 0 done, 1 refused (faults in the rules, or another change came first), 2 wrong command line,\n"
                                          "3 store or process did not answer and nothing was written, 5 the outcome of the write is not known.\n";

    struct Invocation {
        std::vector<std::string> words;
        std::string storeUrl;
        std::string who;
        bool isJson = false;
        bool isDryRun = false;
    };

    /** Runs the main loop until a callback ends it. */
    class Loop {
    public:
        Loop()
            : loop(g_main_loop_new(nullptr, FALSE))
        {
        }
        ~Loop() { g_main_loop_unref(this->loop); }
        Loop(const Loop&) = delete;
        Loop& operator=(const Loop&) = delete;

        void run() { g_main_loop_run(this->loop); }
        void quit() { g_main_loop_quit(this->loop); }

    private:
        GMainLoop* loop;
    };

    int printFaults(const std::string& file, const std::vector<RuleFault>& faults, bool isJson)
    {
        if (isJson) {
            Json json { { "ok", faults.empty() }, { "faults", Json::array() } };
            for (const RuleFault& fault : faults) {
                json["faults"].push_back({ { "line", fault.position.line }, { "column", fault.position.column }, { "text", fault.text } });
            }
            std::cout << json.dump() << "\n";
        } else {
            std::cerr << formatFaults(file, faults);
        }
        return faults.empty() ? exitDone : exitRefused;
    }

    int runCheck(const Invocation& call)
    {
        std::string text;
        if (!readFile(call.words[1], text)) {
            std::cerr << "lavenderctl: " << call.words[1] << ": cannot be read\n";
            return exitUsage;
        }
        return printFaults(call.words[1], parseRules(text).faults, call.isJson);
    }

    std::string_view outcomeName(CommitOutcome outcome)
    {
        switch (outcome) {
        case CommitOutcome::Committed:
            return "committed";
        case CommitOutcome::Unchanged:
            return "unchanged";
        case CommitOutcome::Refused:
            return "refused";
        case CommitOutcome::Raced:
            return "raced";
        case CommitOutcome::Unavailable:
            return "unavailable";
        case CommitOutcome::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    int exitCodeOf(CommitOutcome outcome)
    {
        switch (outcome) {
        case CommitOutcome::Committed:
        case CommitOutcome::Unchanged:
            return exitDone;
        case CommitOutcome::Refused:
        case CommitOutcome::Raced:
            return exitRefused;
        case CommitOutcome::Unavailable:
            return exitUnavailable;
        case CommitOutcome::Unknown:
            return exitUnknown;
        }
        return exitUnknown;
    }

    int runCommit(const Invocation& call, RuleCommand command)
    {
        command.who = call.who;
        HttpStore store(call.storeUrl, storeTimeout);
        Loop loop;
        CommitResult result;
        gchar* change = g_uuid_string_random();
        std::map<int, LoopTimer> timers;
        const Delay delay = [&timers](Duration span, std::function<void()> then) { timers[static_cast<int>(timers.size())].startOnce(span, std::move(then)); };
        commitCommand(store, command, change, call.isDryRun, delay, [&](const CommitResult& ended) {
            result = ended;
            loop.quit();
        });
        loop.run();
        g_free(change);
        if (call.isJson) {
            std::cout << Json { { "outcome", outcomeName(result.outcome) }, { "revision", result.revision }, { "detail", result.detail }, { "warnings", result.warnings } }.dump() << "\n";
        } else {
            for (const std::string& warning : result.warnings) {
                std::cerr << "warning: " << warning << "\n";
            }
            std::cout << outcomeName(result.outcome) << ": revision " << result.revision << (result.detail.empty() ? "" : ": ") << result.detail << "\n";
        }
        return exitCodeOf(result.outcome);
    }

    int runApply(const Invocation& call)
    {
        RuleCommand command { .kind = RuleCommandKind::Replace };
        if (!readFile(call.words[1], command.text)) {
            std::cerr << "lavenderctl: " << call.words[1] << ": cannot be read\n";
            return exitUsage;
        }
        const ParsedRules parsed = parseRules(command.text);
        return parsed.faults.empty() ? runCommit(call, std::move(command)) : printFaults(call.words[1], parsed.faults, call.isJson);
    }

    int runZone(const Invocation& call)
    {
        if (call.words[1] != "out" && call.words[1] != "in") {
            std::cerr << "lavenderctl: zone " << call.words[1] << ": expected out or in\n";
            return exitUsage;
        }
        return runCommit(call, { .kind = call.words[1] == "out" ? RuleCommandKind::ZoneOut : RuleCommandKind::ZoneIn, .zone = call.words[2] });
    }

    int runDrain(const Invocation& call)
    {
        const absl::StatusOr<Address> agent = parseAddress(call.words[1]);
        if (!agent.ok()) {
            std::cerr << "lavenderctl: " << agent.status().message() << "\n";
            return exitUsage;
        }
        return runCommit(call, { .kind = call.words[0] == "drain" ? RuleCommandKind::Drain : RuleCommandKind::Undrain, .agent = *agent });
    }

    int runShow(const Invocation& call)
    {
        HttpStore store(call.storeUrl, storeTimeout);
        Loop loop;
        int code = exitUnavailable;
        store.read(rulesKey, [&](const absl::StatusOr<std::optional<StoreValue>>& value) {
            const absl::StatusOr<RulesEnvelope> envelope = value.ok() && value->has_value() ? parseEnvelope((*value)->value) : absl::NotFoundError("the store has no rules");
            if (!value.ok()) {
                std::cerr << "lavenderctl: " << value.status().message() << "\n";
            } else if (!envelope.ok()) {
                std::cerr << "lavenderctl: " << envelope.status().message() << "\n";
                code = exitRefused;
            } else if (call.isJson) {
                std::cout << Json { { "revision", (*value)->revision }, { "change", envelope->change }, { "who", envelope->who }, { "rules", envelope->rules } }.dump() << "\n";
                code = exitDone;
            } else {
                std::cout << envelope->rules;
                code = exitDone;
            }
            loop.quit();
        });
        loop.run();
        return code;
    }

    /** Asks each address once by UDP and collects what comes back in time. */
    int askStatus(const std::vector<Address>& nodes, bool isJson)
    {
        Loop loop;
        const CerealEncapsulation encapsulation;
        std::map<Address, Json> replies;
        auto socket = UdpSocket::open({ 0x7f000001, 0 }, [&](Address from, std::span<const uint8_t> bytes) {
            const absl::StatusOr<Message> message = encapsulation.decode(bytes);
            const auto* reply = message.ok() ? std::get_if<StatusReply>(&*message) : nullptr;
            if (reply != nullptr) {
                replies[from] = Json::parse(reply->json, nullptr, false);
            }
            if (replies.size() == nodes.size()) {
                loop.quit();
            }
        });
        if (!socket.ok()) {
            std::cerr << "lavenderctl: " << socket.status().message() << "\n";
            return exitUnavailable;
        }
        for (Address node : nodes) {
            (*socket)->send(node, encapsulation.encode(StatusAsk { 1 }));
        }
        LoopTimer timer;
        timer.startOnce(statusWait, [&loop] { loop.quit(); });
        if (!nodes.empty()) {
            loop.run();
        }
        Json list = Json::array();
        for (Address node : nodes) {
            const auto reply = replies.find(node);
            Json entry = reply == replies.end() ? Json { { "address", formatAddress(node) }, { "answered", false } } : reply->second;
            if (!isJson) {
                std::cout << entry.dump() << "\n";
            }
            list.push_back(std::move(entry));
        }
        if (isJson) {
            std::cout << list.dump() << "\n";
        }
        return replies.size() == nodes.size() ? exitDone : exitUnavailable;
    }

    int runStatus(const Invocation& call)
    {
        std::vector<Address> nodes;
        for (size_t index = 1; index < call.words.size(); ++index) {
            const absl::StatusOr<Address> node = parseAddress(call.words[index]);
            if (!node.ok()) {
                std::cerr << "lavenderctl: " << node.status().message() << "\n";
                return exitUsage;
            }
            nodes.push_back(*node);
        }
        if (!nodes.empty()) {
            return askStatus(nodes, call.isJson);
        }
        HttpStore store(call.storeUrl, storeTimeout);
        Loop loop;
        bool isListed = false;
        store.list(balancersPrefix, [&](const absl::StatusOr<std::vector<StoreValue>>& values) {
            isListed = values.ok();
            for (const StoreValue& value : values.ok() ? *values : std::vector<StoreValue>()) {
                const absl::StatusOr<Address> node = parseAddress(std::string_view(value.key).substr(balancersPrefix.size()));
                if (node.ok()) {
                    nodes.push_back(*node);
                }
            }
            loop.quit();
        });
        loop.run();
        if (!isListed) {
            std::cerr << "lavenderctl: the store did not answer\n";
            return exitUnavailable;
        }
        return askStatus(nodes, call.isJson);
    }

    int runSettings(const Invocation& /*call*/)
    {
        std::cout << "# Settings\n\nMade by `lavenderctl settings`. A settings file is JSON; a path names nested objects.\n\n"
                  << formatSettingTable(balancerSettingTable) << "\n"
                  << formatSettingTable(agentSettingTable);
        return exitDone;
    }

    struct CommandEntry {
        std::string_view name;
        size_t lowArguments;
        size_t highArguments;
        bool needsStore;
        bool needsWho;
        int (*run)(const Invocation&);
    };

    constexpr std::array<CommandEntry, 8> commandTable { {
        { "check", 1, 1, false, false, runCheck },
        { "apply", 1, 1, true, true, runApply },
        { "show", 0, 0, true, false, runShow },
        { "zone", 2, 2, true, true, runZone },
        { "drain", 1, 1, true, true, runDrain },
        { "undrain", 1, 1, true, true, runDrain },
        { "status", 0, 4096, false, false, runStatus },
        { "settings", 0, 0, false, false, runSettings },
    } };

    int dispatch(const Invocation& call)
    {
        const auto entry = std::find_if(commandTable.begin(), commandTable.end(), [&call](const CommandEntry& candidate) { return candidate.name == call.words[0]; });
        if (entry == commandTable.end()) {
            std::cerr << "lavenderctl: " << call.words[0] << ": unknown command; see lavenderctl --help\n";
            return exitUsage;
        }
        const size_t arguments = call.words.size() - 1;
        if (arguments < entry->lowArguments || arguments > entry->highArguments) {
            std::cerr << "lavenderctl: " << call.words[0] << ": " << arguments << " arguments: expected " << entry->lowArguments << "; see lavenderctl --help\n";
            return exitUsage;
        }
        const bool isStoreNeeded = entry->needsStore || (entry->name == "status" && arguments == 0);
        if (isStoreNeeded && call.storeUrl.empty()) {
            std::cerr << "lavenderctl: --store: missing: expected http://A.B.C.D:PORT\n";
            return exitUsage;
        }
        if (entry->needsWho && call.who.empty()) {
            std::cerr << "lavenderctl: --who: missing: expected the name of who asks for the change\n";
            return exitUsage;
        }
        return entry->run(call);
    }

} // namespace

} // namespace lavender

int main(int argc, char** argv)
{
    using namespace lavender; // NOLINT(google-build-using-namespace): the program's only function
    Invocation call;
    options::options_description visible("Options");
    visible.add_options()("help", "print this text")("version", "print the version")("store", options::value(&call.storeUrl), "the platform store, http://A.B.C.D:PORT")("who", options::value(&call.who), "who asks for the change")("json", options::bool_switch(&call.isJson), "print JSON")("dry-run", options::bool_switch(&call.isDryRun), "test a change without committing it");
    options::options_description all;
    all.add(visible).add_options()("words", options::value(&call.words));
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "lavenderctl: " << error.what() << "\n";
        return exitUsage;
    }
    if (values.count("help") != 0) {
        std::cout << helpText << visible << exitText;
        return exitDone;
    }
    if (values.count("version") != 0) {
        std::cout << "lavenderctl " << programVersion << "\n";
        return exitDone;
    }
    if (call.words.empty()) {
        std::cerr << "lavenderctl: no command; see lavenderctl --help\n";
        return exitUsage;
    }
    return dispatch(call);
}
