/** @file process_base.h Base class of the daemons: main loop, sockets, clock, signals and status. */
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
    Done = 0, ///< Stopped on request, with no open work left.
    Usage = 2, ///< The command line or the settings are not valid.
    Unavailable = 3, ///< An address could not be bound.
    Interrupted = 4, ///< Stopped with open work left, after a second signal or at the end of the drain time.
    AddressInUse = 5, ///< Another socket has an address; runProgram() tries again, so that no process ends with it.
};

/** Timer on the main loop, periodic or for one call. The destructor stops it. */
class LoopTimer {
public:
    LoopTimer() = default;
    ~LoopTimer() { this->stop(); }
    LoopTimer(const LoopTimer&) = delete;
    LoopTimer& operator=(const LoopTimer&) = delete;

    /** Calls @p function every @p period until stop(); replaces what was started before. */
    void start(Duration period, std::function<void()> function);
    /** Calls @p function once after @p delay; replaces what was started before. */
    void startOnce(Duration delay, std::function<void()> function);
    void stop();

private:
    static gboolean onTimer(gpointer self);

    guint source = 0; ///< GLib event source; 0 while the timer is stopped.
    bool isOnce = false;
    std::function<void()> function;
};

/** The monotonic clock of the machine. */
class MonotonicClock final : public Clock {
public:
    TimePoint now() const override { return TimePoint(g_get_monotonic_time()); }
};

/**
 * Main loop, sockets, timers and signals of a daemon. A subclass holds the decision logic: it handles the events and
 * fills in the actions, which this class carries out.
 */
class Process {
public:
    /**
     * @param listen Address that is bound, for UDP and TCP.
     * @param metrics Address at which metrics are served; none are served if it is not valid.
     */
    Process(Address listen, Address metrics);
    virtual ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /** Binds the sockets and runs the main loop until finish(). @return AddressInUse or Unavailable if an address cannot be bound. */
    ExitCode run();

protected:
    /** A message has arrived by UDP. */
    virtual void onMessage(TimePoint now, const Message& message, Actions& actions) = 0;
    /** Called every 50 ms, and once before the main loop starts. */
    virtual void onTick(TimePoint now, Actions& actions) = 0;
    /** A snapshot that a FetchSnapshot action asked for has arrived. */
    virtual void onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& actions) = 0;
    /** The first SIGTERM or SIGINT: begin a graceful shutdown, and call finish() at its end. */
    virtual void onStop(TimePoint now, Actions& actions) = 0;
    /** SIGHUP: reload the settings file. */
    virtual void onReload() = 0;
    /** Describes the work that would be lost if the process ended now, for the log; empty if there is none. */
    virtual std::string describeOpenWork() const = 0;
    /** State of the process as JSON. @param dropped Number of received datagrams that were too large or did not decode. */
    virtual std::string status(TimePoint now, uint64_t dropped) const = 0;
    /** Snapshot for another process that asks for one. */
    virtual Snapshot makeSnapshot(const SnapshotRequest& request) const = 0;
    /** Carries out one action; a subclass passes on the actions that it does not handle. */
    virtual void perform(const Action& action);

    /** The metrics that are served at /metrics. */
    virtual MetricsView metrics() const = 0;

    /** Carries out actions in their order. */
    void performAll(const Actions& actions);
    /** Ends the main loop; run() then returns @p code. */
    void finish(ExitCode code);
    /** Sends one message by UDP. */
    void sendMessage(Address to, const Message& message);
    /** Sends one encoded message by UDP. */
    void sendDatagram(Address to, std::span<const uint8_t> bytes) { this->udp->send(to, bytes); }
    /** Counts a received datagram that could not be used. */
    void countDroppedDatagram() { ++this->droppedDatagrams; }

    static TimePoint now() { return MonotonicClock().now(); }
    /**
     * Incarnation number for a start of the process: Unix time in milliseconds, so that it rises with every restart.
     * @param clockOffset Added to the time of day.
     */
    static uint64_t makeIncarnation(Duration clockOffset);

    MonotonicClock clock;
    CerealEncapsulation encapsulation;
    SeededRandom random;
    bool isStopping = false; ///< Set at the first signal to stop.

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
    LoopTimer tickTimer;
    uint64_t droppedDatagrams = 0; ///< Received datagrams that were too large or did not decode.
    ExitCode code = ExitCode::Done; ///< What run() returns.
};

} // namespace lavender
