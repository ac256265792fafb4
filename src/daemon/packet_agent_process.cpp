/** @file packet_agent_process.cpp Connects the packet agent's decision logic to sockets, the upstream's reports and the clock. */
#include "daemon/packet_agent_process.h"

#include "daemon/bind_error.h"
#include "daemon/event_log.h"
#include "daemon/http_server.h"
#include "daemon/listener_check.h"
#include "daemon/log_func.h"
#include "daemon/packet_socket.h"
#include "daemon/program_func.h"
#include "daemon/store_factory.h"
#include "packet/packet_agent_base.h"
#include "platform/endpoints.h"
#include "platform/packet.h"
#include "store/follower.h"

#include <memory>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration finalSendTime = 100ms; ///< Lets the last messages go out. Flows are not drained: the process that takes over after a restart carries them on.
    constexpr Duration upstreamCheckTime = 50ms; ///< On one instance a connection is opened or refused in less than 1 ms.
    constexpr Duration leaveTime = 1s; ///< Instead of finalSendTime after a leave: until all balancers know of it, they send packets here, which are forwarded.

    class PacketAgentProcess final : public Process, public SeedFinder::Listener, public platform::ReportListener {
    public:
        PacketAgentProcess(const AgentProcessSettings& settings, std::string text, std::string path)
            : Process(settings.bind, settings.metrics)
            , events(this->clock)
            , settings(settings)
            , settingsText(std::move(text))
            , settingsPath(std::move(path))
            , agent({
                        .address = settings.listen,
                        .zone = settings.zone,
                        .service = settings.service,
                        .incarnation = Process::makeIncarnation(settings.clockOffset),
                        .slots = settings.slots,
                        .reportPeriod = settings.reportPeriod,
                        .hasFlowDirectory = settings.hasFlowDirectory,
                        .holdsRequests = settings.holdsRequests,
                        .startedAt = Process::now(),
                    },
                  this->codec, this->random, this->events)
        {
            if (!settings.storeUrl.empty()) {
                this->store = makeStore(settings.storeDialect, settings.storeUrl, settings.storeTimeout, this->events);
                this->seeds = std::make_unique<SeedFinder>(*this->store, this->clock, this->random, settings.zone, *this);
            }
            this->agent.onSeeds(settings.seeds);
        }

        /**
         * Binds the socket for packets from the upstream and the HTTP endpoint for its reports.
         * @return The error if an address cannot be bound: see makeBindError().
         */
        absl::Status openUpstream()
        {
            auto socket = UdpSocket::open(this->settings.upstreamOutbound, [this](Address /*from*/, std::span<const uint8_t> bytes) {
                Actions actions;
                this->agent.onUpstreamPacket(Process::now(), bytes, actions);
                this->performAll(actions);
            });
            if (!socket.ok()) {
                return socket.status();
            }
            this->upstream = std::move(*socket);
            this->callerSender = std::make_unique<CallerSender>(*this->upstream, this->settings.fabricListen.port);
            auto server = HttpServer::open(this->settings.upstreamReports, platform::reportHandler(*this, this->events));
            if (!server.ok()) {
                return server.status();
            }
            this->reports = std::move(*server);
            return absl::OkStatus();
        }

    protected:
        void onMessage(TimePoint now, const Message& message, Actions& actions) override { this->agent.onMessage(now, message, actions); }
        void onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& actions) override { this->agent.onSnapshot(now, snapshot, actions); }
        std::string status(TimePoint now, uint64_t dropped) const override { return this->agent.status(now, dropped); }
        MetricsView metrics() const override { return this->agent.metrics(); }
        std::string describeOpenWork() const override { return ""; }

        void onTick(TimePoint now, Actions& actions) override
        {
            this->agent.tick(now, actions);
            if (this->seeds != nullptr && this->isAlone()) {
                this->seeds->tick();
            }
        }

        /** Only an agent whose upstream has ended leaves the membership, and not every upstream says that it ends. */
        void onStop(TimePoint /*now*/, Actions& /*actions*/) override
        {
            this->upstreamCheck.start(this->settings.upstreamPackets, upstreamCheckTime, [this](bool isRefused) {
                if (isRefused) {
                    this->agent.onUpstreamEnded();
                }
                Actions actions;
                this->agent.beginStop(Process::now(), actions);
                this->performAll(actions);
                this->exitTimer.startOnce(this->agent.hasLeft() ? leaveTime : finalSendTime, [this] { this->finish(ExitCode::Done); });
            });
        }

        void onReload() override
        {
            if (!reloadSettings(agentSettingTable, this->settingsPath, this->settingsText)) {
                return;
            }
            const AgentProcessSettings fresh = *parseAgentSettings(this->settingsText);
            setupLog(fresh.logFormat, fresh.logLevel);
            this->agent.onSeeds(fresh.seeds);
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
                this->callerSender->send(toCaller->packet);
            } else if (const auto* toUpstream = std::get_if<SendToUpstream>(&action)) {
                this->upstream->send(this->settings.upstreamPackets, toUpstream->packet);
            } else {
                Process::perform(action);
            }
        }

    private:
        void onSeeds(std::span<const Address> found) override { this->agent.onSeeds(found); }
        void onRoster(const Roster& roster) override { this->agent.onRoster(Process::now(), roster); }
        bool isAlone() const override { return !this->agent.isSynchronized(); }

        bool onReport(const UpstreamReport& report) override
        {
            return this->agent.onUpstreamReport(Process::now(), report);
        }

        void onDeregistered(std::string_view id, std::optional<uint64_t> started) override { this->agent.onUpstreamDeregistered(Process::now(), id, started); }

        platform::PacketCodec codec;
        EventLog events;
        AgentProcessSettings settings;
        std::string settingsText;
        std::string settingsPath;
        PacketAgent agent;
        std::unique_ptr<Store> store; ///< Null if no store is configured.
        std::unique_ptr<SeedFinder> seeds; ///< Null if no store is configured.
        std::unique_ptr<UdpSocket> upstream; ///< Packets to and from the upstream, and to callers.
        std::unique_ptr<CallerSender> callerSender; ///< Sends by @c upstream.
        std::unique_ptr<HttpServer> reports; ///< Endpoint for the reports of the upstream.
        ListenerCheck upstreamCheck; ///< At the signal to stop: whether the upstream still runs.
        LoopTimer exitTimer; ///< Ends the process after the signal to stop.
    };

} // namespace

ExitCode runPacketAgent(const AgentProcessSettings& settings, std::string text, std::string path)
{
    PacketAgentProcess process(settings, std::move(text), std::move(path));
    if (const absl::Status status = process.openUpstream(); !status.ok()) {
        return reportBindError(status);
    }
    return process.run();
}

} // namespace lavender
