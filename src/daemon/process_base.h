/** @file process_base.h What both daemons share: the loop, the sockets, the clock, signals and status. */
#pragma once

#include "core/action_type.h"
#include "core/clock_base.h"
#include "core/counter_type.h"
#include "core/metrics_func.h"
#include "core/random_base.h"
#include "daemon/http_server.h"
#include "daemon/snapshot_channel.h"
#include "daemon/udp_socket.h"
#include "wire/codec_func.h"

#include <absl/status/status.h>
#include <gio/gio.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lavender {

/** Exit codes of the daemons. */
enum class ExitCode : int {
    Done = 0, ///< Stopped as asked; nothing was cut.
    Usage = 2, ///< Command line or settings are wrong.
    Unavailable = 3, ///< An address could not be bound.
    Cut = 4, ///< Stopped with work left: a second signal, or the drain time ran out.
};

/** Runs a function on the main loop again and again while it lives. */
class LoopTimer {
public:
    LoopTimer() = default;
    ~LoopTimer() { this->stop(); }
    LoopTimer(const LoopTimer&) = delete;
    LoopTimer& operator=(const LoopTimer&) = delete;

    void start(Duration period, std::function<void()> function);
    void startOnce(Duration delay, std::function<void()> function);
    void stop();

private:
    static gboolean onTimer(gpointer self);

    guint source = 0;
    bool isOnce = false;
    std::function<void()> function;
};

/** The machine's monotonic clock. */
class MonotonicClock final : public Clock {
public:
    TimePoint now() const override { return TimePoint(g_get_monotonic_time()); }
};

/** The part of a daemon that talks to the outside; the decisions are its subclass's. */
class Process {
public:
    /** @param listen What is bound, UDP and TCP. @param metrics Where metrics are served; not valid: nowhere. */
    Process(Address listen, Address metrics);
    virtual ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /** Binds the sockets and runs until the process is to end. */
    ExitCode run();

protected:
    virtual void onMessage(TimePoint now, const Message& message, Actions& actions) = 0;
    virtual void onTick(TimePoint now, Actions& actions) = 0;
    virtual void onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& actions) = 0;
    /** First signal to stop. */
    virtual void onStop(TimePoint now, Actions& actions) = 0;
    /** SIGHUP: the settings file is to be read again. */
    virtual void onReload() = 0;
    /** What the second signal cuts; empty where nothing is. */
    virtual std::string openWork() const = 0;
    /** State of the process as JSON; @p dropped datagrams were too large or did not decode. */
    virtual std::string status(TimePoint now, uint64_t dropped) const = 0;
    virtual Snapshot makeSnapshot(const SnapshotAsk& ask) const = 0;
    virtual void perform(const Action& action);

    /** What is served as metrics. */
    virtual MetricsView metrics() const = 0;

    /** Carries out what the library decided. */
    void performAll(const Actions& actions);
    /** Ends the main loop. */
    void finish(ExitCode code);
    void sendMessage(Address to, const Message& message);
    /** Counts a datagram that was not used. */
    void noteDropped() { ++this->dropped; }

    static TimePoint now() { return MonotonicClock().now(); }
    /** Milliseconds since 1970: rises from one start of a process to its next. */
    static uint64_t makeIncarnation(Duration clockOffset);

    MonotonicClock clock;
    CerealEncapsulation encapsulation;
    SeededRandom random;
    bool isStopping = false;

private:
    static gboolean onSignal(gpointer self);
    static gboolean onHangup(gpointer self);
    void tick();
    void onDatagram(Address from, std::span<const uint8_t> bytes);

    Address listen;
    Address metricsAddress;
    GMainLoop* loop;
    std::unique_ptr<UdpSocket> udp;
    std::unique_ptr<SnapshotServer> snapshots;
    std::unique_ptr<HttpServer> metricsServer;
    LoopTimer ticker;
    uint64_t dropped = 0; ///< Datagrams that were too large or did not decode.
    ExitCode code = ExitCode::Done;
};

} // namespace lavender
