/**
 * @file caller_main.cpp Load generator that stands in for many callers: runs the caller model over a UDP socket.
 *
 * Options: {"port", "fabric", "host": N, "seed", "seconds", "record": FILE, "services": [{"name", "address", "long_flows",
 * "short_per_second", "period_ms", "repeatable", "body_bytes"}]}. Sends all packets to the address "fabric". Begins nothing new after
 * "seconds", and exits once all flows have ended; a summary is then written to FILE as JSON. No summary if it is ended by a signal.
 */
#include "core/random_base.h"
#include "daemon/udp_socket.h"
#include "replay/caller_model.h"
#include "standin_func.h"
#include "wire/codec_func.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>

namespace {

using lavender::Address;
using lavender::TimePoint;
using standin::Json;

constexpr unsigned tickPeriodMilliseconds = 10;

class CallerStandin {
public:
    explicit CallerStandin(const Json& options)
        : random(options.value("seed", uint64_t { 1 }))
        , model(options.value("host", 0x0a000001U), random)
        , fabric(*lavender::parseAddress(options.value("fabric", "")))
        , recordPath(options.value("record", ""))
    {
        auto opened = lavender::UdpSocket::open({ 0x7f000001, options.value("port", uint16_t { 0 }) }, [this](Address /*from*/, std::span<const uint8_t> bytes) {
            this->onDatagram(bytes);
        });
        if (!opened.ok()) {
            std::cerr << opened.status() << "\n";
            std::exit(3);
        }
        this->socket = std::move(*opened);
        const TimePoint now = CallerStandin::now();
        const TimePoint end = now + std::chrono::seconds(options.value("seconds", 10));
        this->model.endAt(end);
        for (const Json& service : options.value("services", Json::array())) {
            const lavender::CallerSpec spec {
                .service = service.value("name", ""),
                .address = *lavender::parseAddress(service.value("address", "")),
                .requestPeriod = std::chrono::milliseconds(service.value("period_ms", 1000)),
                .isIdempotent = service.value("repeatable", false),
                .bodyBytes = service.value("body_bytes", 100U),
            };
            this->model.addLongFlows(now, spec, service.value("long_flows", 0U), std::chrono::seconds(1));
            this->model.addArrivals(now, spec, service.value("short_per_second", 0.0), end);
        }
        standin::runEvery(tickPeriodMilliseconds, [this] { this->tick(); });
    }

private:
    static TimePoint now() { return TimePoint(g_get_monotonic_time()); }

    void sendToFabric(const std::vector<lavender::FlowPacket>& packets)
    {
        for (const lavender::FlowPacket& packet : packets) {
            this->socket->send(this->fabric, lavender::encodeMessage(packet));
        }
    }

    void onDatagram(std::span<const uint8_t> bytes)
    {
        const absl::StatusOr<lavender::Message> message = lavender::decodeMessage(bytes);
        const auto* packet = message.ok() ? std::get_if<lavender::FlowPacket>(&*message) : nullptr;
        if (packet != nullptr && packet->isToCaller) {
            std::vector<lavender::FlowPacket> packets;
            this->model.onPacket(CallerStandin::now(), *packet, packets);
            this->sendToFabric(packets);
        }
    }

    void tick()
    {
        std::vector<lavender::FlowPacket> packets;
        this->model.tick(CallerStandin::now(), packets);
        this->sendToFabric(packets);
        if (!this->isDone && this->model.isDone(CallerStandin::now())) {
            this->isDone = true;
            this->writeRecord();
            kill(getpid(), SIGTERM);
        }
    }

    void writeRecord() const
    {
        const lavender::CallerTally& tally = this->model.tally();
        std::vector<uint32_t> sortedLatencies = tally.latencies; // Milliseconds.
        std::sort(sortedLatencies.begin(), sortedLatencies.end());
        const auto percentile = [&sortedLatencies](double fraction) {
            return sortedLatencies.empty() ? 0U : sortedLatencies[static_cast<size_t>(fraction * static_cast<double>(sortedLatencies.size() - 1))];
        };
        const Json summary {
            { "flows",
                {
                    { "opened", tally.opened },
                    { "closed", tally.closed },
                    { "broken", tally.broken.count },
                    { "given_up", tally.givenUp },
                    { "given_up_by_zone", tally.givenUpByZone },
                    { "refused", tally.refused },
                    { "unopened", tally.unopened.count },
                    { "broken_list", tally.broken.cases },
                } },
            { "requests",
                {
                    { "answered", tally.answered },
                    { "not_run", tally.notRun },
                    { "may_have_run", tally.mayHaveRun },
                    { "wrong_answers", tally.wrongAnswers.count },
                    { "retries", tally.retries },
                    { "reasons", tally.reasons },
                } },
            { "latency_ms",
                {
                    { "p50", percentile(0.5) },
                    { "p99", percentile(0.99) },
                } },
            { "refused_attempts", tally.refusedAttempts },
            { "non_repeatable", tally.nonRepeatable },
        };
        standin::writeFile(this->recordPath, summary.dump());
    }

    lavender::SeededRandom random;
    lavender::CallerModel model;
    Address fabric; ///< Where all packets are sent.
    std::string recordPath; ///< File that the summary is written to.
    std::unique_ptr<lavender::UdpSocket> socket;
    bool isDone = false; ///< True once the summary is written, which happens only once.
};

} // namespace

int main(int argc, char** argv)
{
    const CallerStandin callers(standin::readOptions(argc, argv));
    standin::runUntilSignal([] {});
    return 0;
}
