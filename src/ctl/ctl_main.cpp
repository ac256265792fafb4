/** @file ctl_main.cpp lavenderctl: command-line tool for operators. */
#include "config/rule_func.h"
#include "core/text_func.h"
#include "ctl/command_type.h"
#include "ctl/process_status_func.h"
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

    constexpr std::string_view commandHelp = "Usage: lavenderctl COMMAND [ARGUMENTS] [OPTIONS]\n\n"
                                             "Commands\n"
                                             "  check FILE                 check a rules file; - reads standard input\n"
                                             "  apply FILE                 replace the rules in the store by a rules file; - reads standard input\n"
                                             "  show                       print the rules in the store\n"
                                             "  zone out|in ZONE           take an availability zone out of service, or back in\n"
                                             "  drain|undrain ADDRESS      drain the upstream behind the agent at ADDRESS, or end its drain\n"
                                             "  status [ADDRESS...]        print the state of processes; without addresses, of all balancers in the store\n"
                                             "  settings                   print the settings of the daemons as Markdown\n\n";

    constexpr std::string_view exitCodeHelp = "\nExit codes: 0 done, 1 refused (faults in the rules, or another change came first), 2 invalid command line,\n"
                                              "3 the store or a process did not answer and nothing was written, 5 unknown whether the change was written.\n";

    /** Prints the faults of a rules file. @return Exit code. */
    int printFaults(const std::string& file, const std::vector<RuleFault>& faults, bool isJson)
    {
        if (isJson) {
            Json json { { "ok", faults.empty() }, { "faults", Json::array() } };
            for (const RuleFault& fault : faults) {
                json["faults"].push_back({
                    { "line", fault.position.line },
                    { "column", fault.position.column },
                    { "text", fault.text },
                });
            }
            std::cout << json.dump() << "\n";
        } else {
            std::cerr << formatFaults(file, faults);
        }
        return faults.empty() ? exitDone : exitRefused;
    }

    int runCheck(const CommandLine& commandLine)
    {
        std::string text;
        if (!readFile(commandLine.arguments[1], text)) {
            std::cerr << "lavenderctl: " << commandLine.arguments[1] << ": rules file cannot be read\n";
            return exitUsage;
        }
        return printFaults(commandLine.arguments[1], parseRules(text).faults, commandLine.isJson);
    }

    /** Name of an outcome as printed; scripts read it. */
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

    int toExitCode(CommitOutcome outcome)
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

    /** Changes the rules in the store and prints the outcome. @return Exit code. */
    int runCommit(const CommandLine& commandLine, RuleCommand command)
    {
        command.who = commandLine.who;
        HttpStore store(commandLine.storeUrl, storeTimeout);
        MainLoop loop;
        CommitResult result;
        gchar* changeId = g_uuid_string_random();
        std::map<int, LoopTimer> timers;
        const Delay delay = [&timers](Duration duration, std::function<void()> then) { timers[static_cast<int>(timers.size())].startOnce(duration, std::move(then)); };
        commitCommand(store, command, changeId, commandLine.isDryRun, delay, [&](const CommitResult& commitResult) {
            result = commitResult;
            loop.quit();
        });
        loop.run();
        g_free(changeId);
        if (commandLine.isJson) {
            std::cout << Json {
                { "outcome", outcomeName(result.outcome) },
                { "revision", result.position.number },
                { "era", result.position.era },
                { "detail", result.detail },
                { "warnings", result.warnings },
            }
                             .dump()
                      << "\n";
        } else {
            for (const std::string& warning : result.warnings) {
                std::cerr << "warning: " << warning << "\n";
            }
            std::cout << outcomeName(result.outcome) << ": revision " << formatPosition(result.position) << (result.detail.empty() ? "" : ": ") << result.detail << "\n";
        }
        return toExitCode(result.outcome);
    }

    int runApply(const CommandLine& commandLine)
    {
        RuleCommand command { .kind = RuleCommandKind::Replace };
        if (!readFile(commandLine.arguments[1], command.text)) {
            std::cerr << "lavenderctl: " << commandLine.arguments[1] << ": rules file cannot be read\n";
            return exitUsage;
        }
        const ParsedRules parsed = parseRules(command.text);
        return parsed.faults.empty() ? runCommit(commandLine, std::move(command)) : printFaults(commandLine.arguments[1], parsed.faults, commandLine.isJson);
    }

    int runZone(const CommandLine& commandLine)
    {
        if (commandLine.arguments[1] != "out" && commandLine.arguments[1] != "in") {
            std::cerr << "lavenderctl: zone " << commandLine.arguments[1] << ": expected out or in\n";
            return exitUsage;
        }
        return runCommit(commandLine, {
                                          .kind = commandLine.arguments[1] == "out" ? RuleCommandKind::ZoneOut : RuleCommandKind::ZoneIn,
                                          .zone = commandLine.arguments[2],
                                      });
    }

    int runDrain(const CommandLine& commandLine)
    {
        const absl::StatusOr<Address> agent = parseAddress(commandLine.arguments[1]);
        if (!agent.ok()) {
            std::cerr << "lavenderctl: " << agent.status().message() << "\n";
            return exitUsage;
        }
        return runCommit(commandLine, {
                                          .kind = commandLine.arguments[0] == "drain" ? RuleCommandKind::Drain : RuleCommandKind::Undrain,
                                          .agent = *agent,
                                      });
    }

    int runShow(const CommandLine& commandLine)
    {
        HttpStore store(commandLine.storeUrl, storeTimeout);
        MainLoop loop;
        int code = exitUnavailable;
        store.read(rulesKey, [&](const absl::StatusOr<std::optional<StoreValue>>& value) {
            const absl::StatusOr<RulesEnvelope> envelope = value.ok() && value->has_value() ? parseEnvelope((*value)->value) : absl::NotFoundError("the store has no rules");
            if (!value.ok()) {
                std::cerr << "lavenderctl: " << value.status().message() << "\n";
            } else if (!envelope.ok()) {
                std::cerr << "lavenderctl: " << envelope.status().message() << "\n";
                code = exitRefused;
            } else if (commandLine.isJson) {
                std::cout << Json {
                    { "revision", (*value)->position.number },
                    { "era", (*value)->position.era },
                    { "change", envelope->change },
                    { "who", envelope->who },
                    { "rules", envelope->rules },
                }
                                 .dump()
                          << "\n";
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

    int runSettings(const CommandLine& /*commandLine*/)
    {
        std::cout << "# Settings\n\nMade by `lavenderctl settings`. A settings file is JSON; a path names nested objects.\n\n"
                  << formatSettingTable(balancerSettingTable) << "\n"
                  << formatSettingTable(agentSettingTable);
        return exitDone;
    }

    /** One command of the command line. */
    struct CommandEntry {
        std::string_view name;
        size_t minimumArguments;
        size_t maximumArguments;
        bool needsStore; ///< --store is required.
        bool needsWho; ///< --who is required.
        int (*run)(const CommandLine&);
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

    /** Checks the arguments of the command and runs it. @return Exit code. */
    int dispatch(const CommandLine& commandLine)
    {
        const auto entry = std::find_if(commandTable.begin(), commandTable.end(), [&commandLine](const CommandEntry& candidate) { return candidate.name == commandLine.arguments[0]; });
        if (entry == commandTable.end()) {
            std::cerr << "lavenderctl: " << commandLine.arguments[0] << ": unknown command; see lavenderctl --help\n";
            return exitUsage;
        }
        const size_t argumentCount = commandLine.arguments.size() - 1;
        if (argumentCount < entry->minimumArguments || argumentCount > entry->maximumArguments) {
            std::cerr << "lavenderctl: " << commandLine.arguments[0] << ": " << argumentCount << " arguments: expected " << entry->minimumArguments << "; see lavenderctl --help\n";
            return exitUsage;
        }
        const bool isStoreNeeded = entry->needsStore || (entry->name == "status" && argumentCount == 0);
        if (isStoreNeeded && commandLine.storeUrl.empty()) {
            std::cerr << "lavenderctl: --store: missing: expected http://A.B.C.D:PORT\n";
            return exitUsage;
        }
        if (entry->needsWho && commandLine.who.empty()) {
            std::cerr << "lavenderctl: --who: missing: expected your name, to be recorded with the change\n";
            return exitUsage;
        }
        return entry->run(commandLine);
    }

} // namespace

} // namespace lavender

int main(int argc, char** argv)
{
    using namespace lavender; // NOLINT(google-build-using-namespace): the program's only function
    CommandLine commandLine;
    options::options_description visible("Options");
    visible.add_options()("help", "print this text")("version", "print the version")("store", options::value(&commandLine.storeUrl), "address of the platform store, http://A.B.C.D:PORT")("who", options::value(&commandLine.who), "your name, recorded with the change")("json", options::bool_switch(&commandLine.isJson), "print JSON")("dry-run", options::bool_switch(&commandLine.isDryRun), "check a change without writing it");
    options::options_description all;
    all.add(visible).add_options()("words", options::value(&commandLine.arguments));
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
        std::cout << commandHelp << visible << exitCodeHelp;
        return exitDone;
    }
    if (values.count("version") != 0) {
        std::cout << "lavenderctl " << programVersion << "\n";
        return exitDone;
    }
    if (commandLine.arguments.empty()) {
        std::cerr << "lavenderctl: no command; see lavenderctl --help\n";
        return exitUsage;
    }
    return dispatch(commandLine);
}
