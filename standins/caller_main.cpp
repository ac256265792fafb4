/**
 * @file caller_main.cpp Stand-in of many callers: the caller model on a socket.
 *
 * Options: {"port", "fabric", "host": N, "seed", "seconds", "record": FILE, "services": [{"name", "address", "long_flows",
 * "short_per_second", "period_ms", "repeatable", "body_bytes"}]}.
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

constexpr unsigned tickMilliseconds = 10;

class CallerStandin {
public:
    explicit CallerStandin(const Json& options)
        : random(options.value("seed", uint64_t { 1 }))
        , model(options.value("host", 0x0a000001U), random)
        , fabric(*lavender::parseAddress(options.value("fabric", "")))
        , record(options.value("record", ""))
    {
        auto opened = lavender::UdpSocket::open({ 0x7f000001, options.value("port", uint16_t { 0 }) }, [this](Address /*from*/, std::span<const uint8_t> bytes) { this->onDatagram(bytes); });
        if (!opened.ok()) {
            std::cerr << opened.status() << "\n";
            std::exit(3);
        }
        this->socket = std::move(*opened);
        const TimePoint now = CallerStandin::now();
        const TimePoint end = now + std::chrono::seconds(options.value("seconds", 10));
        this->model.endAt(end);
        for (const Json& entry : options.value("services", Json::array())) {
            const lavender::CallerSpec spec { entry.value("name", ""), *lavender::parseAddress(entry.value("address", "")), std::chrono::milliseconds(entry.value("period_ms", 1000)), entry.value("repeatable", false), entry.value("body_bytes", 100U) };
            this->model.addLongFlows(now, spec, entry.value("long_flows", 0U), std::chrono::seconds(1));
            this->model.addArrivals(now, spec, entry.value("short_per_second", 0.0), end);
        }
        standin::every(tickMilliseconds, [this] { this->tick(); });
    }

private:
    static TimePoint now() { return TimePoint(g_get_monotonic_time()); }

    void sendAll(const std::vector<lavender::FlowPacket>& packets)
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
            std::vector<lavender::FlowPacket> out;
            this->model.onPacket(CallerStandin::now(), *packet, out);
            this->sendAll(out);
        }
    }

    void tick()
    {
        std::vector<lavender::FlowPacket> out;
        this->model.tick(CallerStandin::now(), out);
        this->sendAll(out);
        if (!this->isDone && this->model.isDone(CallerStandin::now())) {
            this->isDone = true;
            this->writeRecord();
            kill(getpid(), SIGTERM);
        }
    }

    void writeRecord() const
    {
        const lavender::CallerTally& tally = this->model.tally();
        std::vector<uint32_t> sorted = tally.latencies;
        std::sort(sorted.begin(), sorted.end());
        const auto quantile = [&sorted](double share) { return sorted.empty() ? 0U : sorted[static_cast<size_t>(share * static_cast<double>(sorted.size() - 1))]; };
        const Json json {
            { "flows", { { "opened", tally.opened }, { "closed", tally.closed }, { "broken", tally.broken.count }, { "given_up", tally.givenUp }, { "given_up_by_zone", tally.givenUpByZone }, { "refused", tally.refused }, { "unopened", tally.unopened.count }, { "broken_list", tally.broken.cases } } },
            { "requests", { { "answered", tally.answered }, { "not_run", tally.notRun }, { "may_have_run", tally.mayHaveRun }, { "wrong_answers", tally.wrongAnswers.count }, { "retries", tally.retries }, { "reasons", tally.reasons } } },
            { "latency_ms", { { "p50", quantile(0.5) }, { "p99", quantile(0.99) } } },
            { "refused_attempts", tally.refusedAttempts },
            { "non_repeatable", tally.nonRepeatable },
        };
        standin::writeFile(this->record, json.dump());
    }

    lavender::SeededRandom random;
    lavender::CallerModel model;
    Address fabric;
    std::string record;
    std::unique_ptr<lavender::UdpSocket> socket;
    bool isDone = false;
};

} // namespace

int main(int argc, char** argv)
{
    const CallerStandin callers(standin::readOptions(argc, argv));
    standin::runUntilSignal([] {});
    return 0;
}
