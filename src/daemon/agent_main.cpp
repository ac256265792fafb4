/** @file agent_main.cpp lavender-agent: connects the agent's decision logic to sockets, the upstream and the clock. */
#include "agent/agent_base.h"
#include "core/text_func.h"
#include "daemon/event_log.h"
#include "daemon/log_func.h"
#include "daemon/packet_agent_process.h"
#include "daemon/process_base.h"
#include "daemon/program_func.h"
#include "daemon/store_factory.h"
#include "daemon/upstream_base.h"
#include "settings/setting_func.h"
#include "store/follower.h"

#include <memory>
#include <utility>

namespace lavender {

namespace {

    /** Route of packets back to their callers. */
    class ReturnPath {
    public:
        virtual ~ReturnPath() = default;
        /** Where to send a packet that is on its way to its caller. */
        virtual Address nextHop(const FlowPacket& packet) const = 0;
    };

    /** Sends all packets to one address of the network fabric, which delivers them. */
    class FabricReturnPath final : public ReturnPath {
    public:
        explicit FabricReturnPath(Address fabric)
            : fabric(fabric)
        {
        }
        Address nextHop(const FlowPacket& /*packet*/) const override { return this->fabric; }

    private:
        Address fabric;
    };

    class AgentProcess final : public Process, public SeedFinder::Listener {
    public:
        /** @param text Content of the settings file. @param path Path of the settings file, for reloads. */
        AgentProcess(const AgentProcessSettings& settings, std::string text, std::string path)
            : Process(settings.bind, settings.metrics)
            , settings(settings)
            , settingsText(std::move(text))
            , settingsPath(std::move(path))
            , agent({
                        settings.listen,
                        settings.zone,
                        settings.service,
                        Process::makeIncarnation(settings.clockOffset),
                        settings.slots,
                    },
                  this->random)
            , upstream(std::make_unique<HttpUpstream>(settings.upstreamUrl))
            , returnPath(std::make_unique<FabricReturnPath>(settings.returnAddress))
        {
            if (!settings.storeUrl.empty()) {
                this->store = makeStore(settings.storeDialect, settings.storeUrl, settings.storeTimeout, this->events);
                this->seeds = std::make_unique<SeedFinder>(*this->store, this->clock, this->random, settings.zone, *this);
            }
        }

        /** Gives the agent the configured seeds and starts the health checks of the upstream. */
        void startTimers()
        {
            this->agent.onSeeds(this->settings.seeds);
            this->healthTimer.start(this->settings.healthPeriod, [this] { this->checkHealth(); });
        }

    protected:
        void onMessage(TimePoint now, const Message& message, Actions& actions) override { this->agent.onMessage(now, message, actions); }
        void onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& actions) override { this->agent.onSnapshot(now, snapshot, actions); }
        std::string status(TimePoint now, uint64_t dropped) const override { return this->agent.status(now, dropped); }

        void onTick(TimePoint now, Actions& actions) override
        {
            this->agent.tick(now, actions);
            this->logChanges();
            if (this->seeds != nullptr) {
                this->seeds->tick();
            }
            if (this->agent.isDrained() && !this->isLeaving) {
                this->isLeaving = true;
                this->agent.leave(now, actions);
                logInfo("drained", "all work is finished; late packets are forwarded until the linger time ends");
                this->lingerTimer.startOnce(this->settings.linger, [this] { this->finish(ExitCode::Done); });
            }
        }

        void onStop(TimePoint /*now*/, Actions& /*actions*/) override
        {
            this->agent.beginStop();
            this->drainTimer.startOnce(this->settings.drainTime, [this] {
                if (!this->isLeaving) {
                    logWarning("stop-cut", this->describeOpenWork());
                    this->finish(ExitCode::Interrupted);
                }
            });
        }

        void onReload() override
        {
            if (!reloadSettings(agentSettingTable, this->settingsPath, this->settingsText)) {
                return;
            }
            const AgentProcessSettings fresh = *parseAgentSettings(this->settingsText);
            setupLog(fresh.logFormat, fresh.logLevel);
            this->settings.linger = fresh.linger;
            this->settings.drainTime = fresh.drainTime;
            this->agent.onSeeds(fresh.seeds);
        }

        MetricsView metrics() const override { return this->agent.metrics(); }
        std::string describeOpenWork() const override
        {
            const size_t flows = this->agent.flowTable().size();
            const size_t requests = this->agent.requestSystem().inFlight();
            return flows + requests == 0 ? "" : concat(flows, " flows, ", requests, " requests");
        }

        Snapshot makeSnapshot(const SnapshotRequest& request) const override
        {
            const ConfigurationFollower& follower = this->agent.configuration();
            return follower.revision() > request.knownRevision ? Snapshot {
                .revision = follower.revision(),
                .rules = follower.patchFrom(request.knownRevision),
            }
                                                               : Snapshot();
        }

        void perform(const Action& action) override
        {
            if (const auto* toCaller = std::get_if<SendToCaller>(&action)) {
                this->sendMessage(this->returnPath->nextHop(toCaller->packet), toCaller->packet);
            } else if (const auto* handOver = std::get_if<StartUpstreamRequest>(&action)) {
                this->upstream->handOver(*handOver, [this](const UpstreamResult& result) {
                    Actions actions;
                    this->agent.onUpstreamResult(Process::now(), result, actions);
                    this->performAll(actions);
                });
            } else if (const auto* cancel = std::get_if<CancelUpstreamRequest>(&action)) {
                this->upstream->cancel(cancel->id);
            } else {
                Process::perform(action);
            }
        }

    private:
        void onSeeds(std::span<const Address> found) override { this->agent.onSeeds(found); }
        bool isAlone() const override { return !this->agent.configuration().hasRules(); }

        void checkHealth()
        {
            this->upstream->checkHealth([this](const UpstreamHealth& health) {
                if (health.isReachable != this->isReachable) {
                    this->isReachable = health.isReachable;
                    health.isReachable ? logInfo("upstream-reachable", this->settings.upstreamUrl) : logWarning("upstream-unreachable", this->settings.upstreamUrl);
                }
                this->agent.onUpstreamHealth(Process::now(), health);
            });
        }

        /** Logs a new member state and a new revision of the rules. */
        void logChanges()
        {
            const MemberState state = this->agent.self().state;
            if (state != this->loggedState) {
                this->loggedState = state;
                logInfo("state", toString(state));
            }
            const Revision revision = this->agent.configuration().revision();
            if (revision != this->loggedRevision) {
                this->loggedRevision = revision;
                logInfo("rules-in-force", concat("revision ", formatRevision(revision)));
            }
        }

        EventLog events { this->clock };
        AgentProcessSettings settings;
        std::string settingsText;
        std::string settingsPath;
        Agent agent;
        std::unique_ptr<Upstream> upstream;
        std::unique_ptr<ReturnPath> returnPath;
        std::unique_ptr<Store> store; ///< Null if no store is configured.
        std::unique_ptr<SeedFinder> seeds; ///< Null if no store is configured.
        LoopTimer healthTimer;
        LoopTimer drainTimer;
        LoopTimer lingerTimer;
        MemberState loggedState = MemberState::Cold; ///< State that was last logged.
        Revision loggedRevision; ///< Revision of the rules that was last logged.
        bool isReachable = false; ///< Whether the last health check reached the upstream.
        bool isLeaving = false; ///< Drained and deregistered; the process ends when the linger time is over.
    };

} // namespace

} // namespace lavender

int main(int argc, char** argv)
{
    using namespace lavender; // NOLINT(google-build-using-namespace): the program's only function
    const auto check = [](const std::string& text) { return std::string(parseAgentSettings(text).status().message()); };
    const auto run = [](const std::string& text, const std::string& path) {
        const AgentProcessSettings settings = *parseAgentSettings(text);
        setupLog(settings.logFormat, settings.logLevel);
        if (settings.upstreamPackets.isValid()) {
            return static_cast<int>(runPacketAgent(settings, text, path));
        }
        AgentProcess process(settings, text, path);
        process.startTimers();
        return static_cast<int>(process.run());
    };
    return runProgram(argc, argv, agentSettingTable, check, run);
}
