/** @file process.cpp Everything runs on one main loop in one thread. */
#include "daemon/process_base.h"

#include "core/text_func.h"
#include "daemon/bind_error.h"
#include "daemon/log_func.h"
#include "daemon/program_func.h"

#include <glib-unix.h>

#include <csignal>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration tickPeriod = 50ms;

} // namespace

void LoopTimer::start(Duration period, std::function<void()> callback)
{
    this->stop();
    this->function = std::move(callback);
    this->isOnce = false;
    this->source = g_timeout_add(static_cast<guint>(toMilliseconds(period)), &LoopTimer::onTimer, this);
}

void LoopTimer::startOnce(Duration delay, std::function<void()> callback)
{
    this->start(delay, std::move(callback));
    this->isOnce = true;
}

void LoopTimer::stop()
{
    if (this->source != 0) {
        g_source_remove(this->source);
        this->source = 0;
    }
}

gboolean LoopTimer::onTimer(gpointer self)
{
    auto* timer = static_cast<LoopTimer*>(self);
    if (!timer->isOnce) {
        timer->function();
        return G_SOURCE_CONTINUE;
    }
    timer->source = 0;
    // Taken out first, as the function may start this timer again.
    const std::function<void()> callback = std::exchange(timer->function, nullptr);
    callback();
    return G_SOURCE_REMOVE;
}

Process::Process(Address listen, Address metrics)
    : random(static_cast<uint64_t>(g_random_int()) << 32U | g_random_int())
    , listen(listen)
    , metricsAddress(metrics)
    , loop(g_main_loop_new(nullptr, FALSE))
{
}

Process::~Process()
{
    g_main_loop_unref(this->loop);
}

uint64_t Process::makeIncarnation(Duration clockOffset)
{
    return static_cast<uint64_t>(g_get_real_time() + clockOffset.count()) / 1000;
}

ExitCode Process::run()
{
    auto socket = UdpSocket::open(this->listen, [this](Address from, std::span<const uint8_t> bytes) { this->onDatagram(from, bytes); });
    if (!socket.ok()) {
        return reportBindError(socket.status());
    }
    this->udp = std::move(*socket);
    auto server = SnapshotServer::open(this->listen, [this](const SnapshotRequest& request) { return this->makeSnapshot(request); });
    if (!server.ok()) {
        return reportBindError(server.status());
    }
    this->snapshots = std::move(*server);
    if (this->metricsAddress.isValid()) {
        auto httpServer = HttpServer::open(this->metricsAddress, [this](std::string_view /*method*/, std::string_view path, std::string_view /*body*/) {
            return path == "/metrics" ? HttpReply {
                .body = formatMetrics(this->metrics()),
                .contentType = "text/plain; version=0.0.4",
            }
                                      : HttpReply { .status = 404 };
        });
        if (!httpServer.ok()) {
            return reportBindError(httpServer.status());
        }
        this->metricsServer = std::move(*httpServer);
    }
    this->tickTimer.start(tickPeriod, [this] { this->tick(); });
    g_unix_signal_add(SIGTERM, &Process::onSignal, this);
    g_unix_signal_add(SIGINT, &Process::onSignal, this);
    g_unix_signal_add(SIGHUP, &Process::onHangup, this);
    holdSignals(false);
    logInfo("started", formatAddress(this->listen));
    this->tick(); // Sends the first requests to the store and to other processes now, not after the first timer period.
    g_main_loop_run(this->loop);
    this->tickTimer.stop();
    logInfo("ended", concat("exit code ", static_cast<int>(this->code)));
    return this->code;
}

void Process::tick()
{
    Actions actions;
    this->onTick(Process::now(), actions);
    this->performAll(actions);
}

void Process::finish(ExitCode exitCode)
{
    this->code = exitCode;
    g_main_loop_quit(this->loop);
}

gboolean Process::onSignal(gpointer self)
{
    auto* process = static_cast<Process*>(self);
    if (process->isStopping) {
        const std::string openWork = process->describeOpenWork();
        logWarning("stop-cut", openWork.empty() ? "no open work" : openWork);
        process->finish(openWork.empty() ? ExitCode::Done : ExitCode::Interrupted);
        return G_SOURCE_CONTINUE;
    }
    process->isStopping = true;
    logInfo("stop-begun", "");
    Actions actions;
    process->onStop(Process::now(), actions);
    process->performAll(actions);
    return G_SOURCE_CONTINUE;
}

gboolean Process::onHangup(gpointer self)
{
    static_cast<Process*>(self)->onReload();
    return G_SOURCE_CONTINUE;
}

void Process::sendMessage(Address to, const Message& message)
{
    this->udp->send(to, this->encapsulation.encode(message));
}

void Process::performAll(const Actions& actions)
{
    for (const Action& action : actions) {
        this->perform(action);
    }
}

void Process::perform(const Action& action)
{
    if (const auto* send = std::get_if<SendMessage>(&action)) {
        this->sendMessage(send->to, send->message);
    } else if (const auto* fetch = std::get_if<FetchSnapshot>(&action)) {
        fetchSnapshot(fetch->from, fetch->request, [this](absl::StatusOr<Snapshot> snapshot) {
            if (snapshot.ok()) {
                Actions actions;
                this->onSnapshot(Process::now(), *snapshot, actions);
                this->performAll(actions);
            }
        });
    }
}

void Process::onDatagram(Address from, std::span<const uint8_t> bytes)
{
    if (bytes.size() > maximumDatagramBytes) {
        ++this->droppedDatagrams;
        return;
    }
    const absl::StatusOr<Message> message = this->encapsulation.decode(bytes);
    if (!message.ok()) {
        ++this->droppedDatagrams;
        return;
    }
    const TimePoint receivedAt = Process::now();
    if (const auto* request = std::get_if<StatusRequest>(&*message)) {
        this->sendMessage(from, StatusReply { request->nonce, this->status(receivedAt, this->droppedDatagrams) });
        return;
    }
    Actions actions;
    this->onMessage(receivedAt, *message, actions);
    this->performAll(actions);
}

} // namespace lavender
