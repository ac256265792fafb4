/** @file balancer_main.cpp lavender-balancer: connects the balancer's decision logic to sockets, the store and the clock. */
#include "balancer/balancer_base.h"
#include "core/text_func.h"
#include "daemon/bind_error.h"
#include "daemon/event_log.h"
#include "daemon/http_server.h"
#include "daemon/log_func.h"
#include "daemon/paced_sender.h"
#include "daemon/packet_socket.h"
#include "daemon/process_base.h"
#include "daemon/program_func.h"
#include "daemon/store_factory.h"
#include "platform/endpoints.h"
#include "platform/packet.h"
#include "settings/setting_func.h"
#include "store/follower.h"
#include "store/roster_writer.h"

#include <memory>
#include <utility>

namespace lavender {

namespace {

    class BalancerProcess final : public Process, public StoreFollower::Listener, public SeedFinder::Listener, public RosterWriter::Listener {
    public:
        /** @param text Content of the settings file. @param path Path of the settings file, for reloads. */
        BalancerProcess(const BalancerProcessSettings& settings, std::string text, std::string path)
            : Process(settings.bind, settings.metrics)
            , settings(settings)
            , settingsText(std::move(text))
            , settingsPath(std::move(path))
            , balancer({ settings.listen, settings.zone, Process::makeIncarnation(settings.clockOffset) }, makeSteering(settings.steering, settings.zone), this->random)
        {
            if (settings.fabricListen.isValid()) {
                this->balancer.enableOpaquePackets(this->codec, this->events);
                this->balancer.configureOutliers({ .oneIn = settings.outliersOneIn });
            }
            if (settings.linkBytesPerSecond > 0) {
                this->pacedSender = std::make_unique<PacedSender>(settings.linkBytesPerSecond, this->balancer.counters(),
                    [this](Address to, std::span<const uint8_t> bytes) { this->sendDatagram(to, bytes); });
            }
            if (!settings.storeUrl.empty()) {
                this->store = makeStore(settings.storeDialect, settings.storeUrl, settings.storeTimeout, this->events);
                const StoreFollowerSettings followerSettings {
                    settings.listen,
                    settings.zone,
                    settings.leaseTime,
                    settings.readPeriod,
                    settings.fleetReadPeriod,
                };
                this->follower = std::make_unique<StoreFollower>(*this->store, this->clock, this->random, followerSettings, *this);
                this->seeds = std::make_unique<SeedFinder>(*this->store, this->clock, this->random, settings.zone, *this);
                if (settings.fabricListen.isValid()) {
                    this->rosterWriter = std::make_unique<RosterWriter>(*this->store, this->clock, this->random, *this);
                }
            }
        }

        /**
         * Binds the socket for packets from the platform's routers and the readiness endpoint that they query; does
         * nothing if no fabric address is configured.
         * @return The error if an address cannot be bound: see makeBindError().
         */
        absl::Status openFabric()
        {
            if (!this->settings.fabricListen.isValid()) {
                return absl::OkStatus();
            }
            auto socket = UdpSocket::open(this->settings.fabricListen, [this](Address /*from*/, std::span<const uint8_t> bytes) { this->onPacket(bytes); });
            if (!socket.ok()) {
                return socket.status();
            }
            this->fabric = std::move(*socket);
            this->callerSender = std::make_unique<CallerSender>(*this->fabric, this->settings.fabricListen.port);
            auto server = HttpServer::open(this->settings.fabricReady, platform::readinessHandler([this] { return !this->isStopping && this->balancer.isReady(); }));
            if (!server.ok()) {
                return server.status();
            }
            this->readiness = std::move(*server);
            return absl::OkStatus();
        }

    protected:
        void onMessage(TimePoint now, const Message& message, Actions& actions) override { this->balancer.onMessage(now, message, actions); }
        void onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& /*actions*/) override { this->balancer.onSnapshot(now, snapshot); }
        void onReload() override
        {
            if (!reloadSettings(balancerSettingTable, this->settingsPath, this->settingsText)) {
                return;
            }
            const BalancerProcessSettings fresh = *parseBalancerSettings(this->settingsText);
            setupLog(fresh.logFormat, fresh.logLevel);
            this->settings.linger = fresh.linger;
            this->settings.seeds = fresh.seeds;
            this->balancer.configureOutliers({ .oneIn = fresh.outliersOneIn });
        }

        MetricsView metrics() const override { return this->balancer.metrics(); }
        std::string describeOpenWork() const override { return ""; }
        std::string status(TimePoint now, uint64_t dropped) const override { return this->balancer.status(now, dropped); }
        Snapshot makeSnapshot(const SnapshotRequest& request) const override { return this->balancer.makeSnapshot(request); }

        void onTick(TimePoint now, Actions& actions) override
        {
            if (this->fabric != nullptr) {
                this->fabric->checkEmpty();
            }
            if (this->isStopping) {
                return;
            }
            this->balancer.tick(now, actions);
            if (this->pacedSender != nullptr) {
                this->balancer.onBacklog(now, this->pacedSender->backlog());
            }
            this->logRevisionChange();
            if (this->isAlone()) {
                this->balancer.onSeeds(now, this->settings.seeds, actions);
            }
            if (this->store != nullptr) {
                this->follower->tick();
                this->seeds->tick();
            }
            if (this->rosterWriter != nullptr) {
                this->rosterWriter->tick();
            }
        }

        void onStop(TimePoint now, Actions& actions) override
        {
            this->balancer.beginStop(now, actions);
            if (this->follower != nullptr) {
                this->follower->stop();
            }
            this->lingerTimer.startOnce(this->settings.linger, [this] { this->finish(ExitCode::Done); });
        }

        void perform(const Action& action) override
        {
            if (const auto* toCaller = std::get_if<SendToCaller>(&action); toCaller != nullptr && this->callerSender != nullptr) {
                this->callerSender->send(toCaller->packet);
            } else if (const auto* send = std::get_if<SendMessage>(&action); send != nullptr && this->pacedSender != nullptr) {
                this->sendPaced(*send);
            } else {
                Process::perform(action);
            }
        }

    private:
        /** Handles one packet from the routers. */
        void onPacket(std::span<const uint8_t> bytes)
        {
            std::optional<FlowPacket> packet = parseCallerPacket(this->codec, bytes);
            if (!packet) {
                this->countDroppedDatagram();
                return;
            }
            Actions actions;
            this->balancer.onCallerPacket(Process::now(), *packet, actions, this->fabric->longestWait());
            this->performAll(actions);
        }

        /** Sends a packet of a flow when the link has room for it, and any other message at once. */
        void sendPaced(const SendMessage& send)
        {
            Bytes bytes = this->encapsulation.encode(send.message);
            if (const auto* forwarded = std::get_if<ForwardedPacket>(&send.message)) {
                this->pacedSender->send(Process::now(), { forwarded->packet.flow, send.to, std::move(bytes) });
            } else {
                this->pacedSender->sendAtOnce(Process::now(), send.to, bytes);
            }
        }

        void onSeeds(std::span<const Address> found) override
        {
            Actions actions;
            this->balancer.onSeeds(Process::now(), found, actions);
            this->performAll(actions);
        }

        bool isAlone() const override { return this->balancer.gossip().balancers("").empty(); }
        bool isWatcher() const override { return this->balancer.isWatcher(); }
        Revision revision() const override { return this->balancer.configuration().revision(); }
        size_t balancerCount() const override { return this->balancer.gossip().balancers("").size() + 1; }
        bool isRosterKeeper() const override { return this->balancer.isRosterKeeper(); }
        Roster makeRoster(const Roster& earlier) const override { return this->balancer.makeRoster(Process::now(), earlier); }
        void onRosterWritten(const Roster& roster, size_t bytes) override
        {
            size_t agents = 0;
            for (const auto& [service, members] : roster) {
                agents += members.size();
            }
            logInfo("roster-written", concat(agents, " agents of ", roster.size(), " services, ", bytes, " bytes"));
        }

        void onLeaseLapsed() override { logWarning("lease-lapsed", "taking a new one"); }

        void onStoreState(bool isUp) override
        {
            isUp ? logInfo("store-up", "") : logWarning("store-down", "the store does not answer; the rules in force are kept");
        }

        void onRules(const StoredRules& rules) override
        {
            const absl::Status status = this->balancer.onConfiguration(Process::now(), rules);
            if (absl::IsInvalidArgument(status)) {
                logWarning("rules-refused", status.ToString());
            }
        }

        /** Logs the revision of the rules when it has changed. */
        void logRevisionChange()
        {
            if (this->balancer.configuration().revision() != this->loggedRevision) {
                this->loggedRevision = this->balancer.configuration().revision();
                logInfo("rules-in-force", concat("revision ", formatRevision(this->loggedRevision)));
            }
        }

        platform::PacketCodec codec;
        EventLog events { this->clock };
        BalancerProcessSettings settings;
        std::string settingsText;
        std::string settingsPath;
        Balancer balancer;
        std::unique_ptr<Store> store; ///< Null if no store is configured.
        std::unique_ptr<StoreFollower> follower; ///< Null if no store is configured.
        std::unique_ptr<SeedFinder> seeds; ///< Null if no store is configured.
        std::unique_ptr<RosterWriter> rosterWriter; ///< Null without opaque packets: only their agents look at the roster.
        std::unique_ptr<UdpSocket> fabric; ///< Packets from routers and to callers; null if no fabric address is configured.
        std::unique_ptr<CallerSender> callerSender; ///< Sends by @c fabric; null if that is null.
        std::unique_ptr<PacedSender> pacedSender; ///< Null if the rate of the link is not known.
        std::unique_ptr<HttpServer> readiness; ///< Readiness endpoint; null if no fabric address is configured.
        LoopTimer lingerTimer;
        Revision loggedRevision; ///< Revision of the rules that was last logged.
    };

} // namespace

} // namespace lavender

int main(int argc, char** argv)
{
    using namespace lavender; // NOLINT(google-build-using-namespace): the program's only function
    const auto check = [](const std::string& text) { return std::string(parseBalancerSettings(text).status().message()); };
    const auto run = [](const std::string& text, const std::string& path) {
        const BalancerProcessSettings settings = *parseBalancerSettings(text);
        setupLog(settings.logFormat, settings.logLevel);
        BalancerProcess process(settings, text, path);
        if (const absl::Status status = process.openFabric(); !status.ok()) {
            return static_cast<int>(reportBindError(status));
        }
        return static_cast<int>(process.run());
    };
    return runProgram(argc, argv, balancerSettingTable, check, run);
}
