/**
 * @file caller_main.cpp Stand-in of many callers: long flows with a request now and then, short flows with one.
 *
 * Options: {"port", "fabric", "host": N, "seed", "seconds", "record": FILE, "services": [{"name", "address", "long_flows",
 * "short_per_second", "period_ms", "repeatable", "body_bytes"}]}. Sends again what is not answered, puts answers together,
 * checks that each is whole and its own, and tries again only what was not run or may be repeated.
 */
#include "core/random_base.h"
#include "daemon/udp_socket.h"
#include "standin_func.h"
#include "wire/codec_func.h"

#include <unistd.h>

#include <csignal>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace {

using lavender::Address;
using lavender::Bytes;
using lavender::FlowEvent;
using lavender::PacketMark;
using lavender::Verdict;
using standin::Json;
using Milliseconds = int64_t;

constexpr Milliseconds firstResend = 200;
constexpr Milliseconds lastResend = 800;
constexpr Milliseconds deadline = 4000;
constexpr Milliseconds deadlineGrace = 1000;
constexpr Milliseconds openingTime = 15'000;
constexpr Milliseconds closingTime = 8000;
constexpr uint32_t maximumAttempts = 6;
constexpr int timeoutsUntilBroken = 2;
constexpr unsigned tickMilliseconds = 10;

struct ServiceSpec {
    std::string name;
    Address address;
    uint32_t longFlows = 0;
    double shortPerSecond = 0;
    uint32_t period = 1000;
    bool isRepeatable = false;
    uint32_t bodyBytes = 100;
    double due = 0; ///< Short flows that are due.
};

struct CallerRequest {
    uint64_t id = 0;
    uint32_t attempt = 1;
    std::string key;
    std::string body;
    Milliseconds deadlineAt = 0;
    Milliseconds nextSend = 0;
    Milliseconds interval = firstResend;
    Milliseconds begun = 0;
    std::vector<std::optional<Bytes>> parts; ///< Of the answer.
};

enum class FlowState : uint8_t {
    Opening,
    Open,
    Closing,
    Ended,
};

struct CallerFlow {
    lavender::FlowKey key;
    size_t service = 0;
    bool isLong = false;
    FlowState state = FlowState::Opening;
    std::string zone;
    Milliseconds begun = 0;
    Milliseconds nextSend = 0;
    Milliseconds interval = firstResend;
    Milliseconds nextRequest = 0;
    uint64_t lastId = 0;
    int timeouts = 0;
    std::optional<CallerRequest> request;
    std::optional<CallerRequest> waiting; ///< A refused one that may be tried again.
};

struct Tally {
    uint64_t opened = 0, closed = 0, broken = 0, givenUp = 0, refused = 0, unopened = 0;
    uint64_t answered = 0, notRun = 0, mayHaveRun = 0, wrongAnswers = 0, retries = 0;
    std::map<std::string, uint64_t> givenUpByZone;
    std::map<std::string, uint64_t> reasons;
    std::vector<std::string> brokenFlows;
    std::set<std::string> refusedAttempts; ///< "KEY/ATTEMPT" that were said not to have run.
    std::set<std::string> nonRepeatable; ///< Keys that may not run twice.
    std::vector<double> latencies; ///< Milliseconds.
};

Milliseconds nowMilliseconds() { return g_get_monotonic_time() / 1000; }

class CallerStandin {
public:
    explicit CallerStandin(const Json& options)
        : random(options.value("seed", uint64_t { 1 }))
        , fabric(*lavender::parseAddress(options.value("fabric", "")))
        , host(options.value("host", 0x0a000001U))
        , record(options.value("record", ""))
        , endAt(nowMilliseconds() + 1000 * options.value("seconds", Milliseconds { 10 }))
    {
        for (const Json& entry : options.value("services", Json::array())) {
            this->services.push_back({ entry.value("name", ""), *lavender::parseAddress(entry.value("address", "")), entry.value("long_flows", 0U), entry.value("short_per_second", 0.0), entry.value("period_ms", 1000U), entry.value("repeatable", false), entry.value("body_bytes", 100U) });
        }
        auto opened = lavender::UdpSocket::open({ 0x7f000001, options.value("port", uint16_t { 0 }) }, [this](Address /*from*/, std::span<const uint8_t> bytes) { this->onDatagram(bytes); });
        if (!opened.ok()) {
            std::cerr << opened.status() << "\n";
            std::exit(3);
        }
        this->socket = std::move(*opened);
        for (size_t index = 0; index < this->services.size(); ++index) {
            for (uint32_t count = 0; count < this->services[index].longFlows; ++count) {
                this->openFlow(index, true);
            }
        }
        standin::every(tickMilliseconds, [this] { this->tick(); });
    }

    void writeRecord() const
    {
        const Tally& tally = this->tally;
        std::vector<double> sorted = tally.latencies;
        std::sort(sorted.begin(), sorted.end());
        const auto quantile = [&sorted](double share) { return sorted.empty() ? 0.0 : sorted[static_cast<size_t>(share * static_cast<double>(sorted.size() - 1))]; };
        const Json json {
            { "flows", { { "opened", tally.opened }, { "closed", tally.closed }, { "broken", tally.broken }, { "given_up", tally.givenUp }, { "given_up_by_zone", tally.givenUpByZone }, { "refused", tally.refused }, { "unopened", tally.unopened }, { "broken_list", tally.brokenFlows } } },
            { "requests", { { "answered", tally.answered }, { "not_run", tally.notRun }, { "may_have_run", tally.mayHaveRun }, { "wrong_answers", tally.wrongAnswers }, { "retries", tally.retries }, { "reasons", tally.reasons } } },
            { "latency_ms", { { "p50", quantile(0.5) }, { "p99", quantile(0.99) } } },
            { "refused_attempts", tally.refusedAttempts },
            { "non_repeatable", tally.nonRepeatable },
        };
        standin::writeFile(this->record, json.dump());
    }

private:
    bool isEnding() const { return nowMilliseconds() >= this->endAt; }

    void send(const CallerFlow& flow, PacketMark mark, const lavender::Exchange& exchange)
    {
        const lavender::FlowPacket packet { .flow = flow.key, .mark = mark, .payload = lavender::encodeExchange(exchange) };
        this->socket->send(this->fabric, lavender::encodeMessage(packet));
    }

    CallerFlow& openFlow(size_t service, bool isLong)
    {
        this->nextPort = this->nextPort >= 65535 ? 1024 : this->nextPort + 1;
        this->host += this->nextPort == 1024 ? 1 : 0;
        CallerFlow flow;
        flow.key = { { this->host, static_cast<uint16_t>(this->nextPort) }, this->services[service].address };
        flow.service = service;
        flow.isLong = isLong;
        flow.begun = nowMilliseconds();
        // Long flows begin spread over their period, as callers do.
        flow.nextRequest = isLong ? flow.begun + this->random.below(this->services[service].period) : 0;
        return this->flows[flow.key] = flow;
    }

    void newRequest(CallerFlow& flow)
    {
        const ServiceSpec& service = this->services[flow.service];
        CallerRequest request;
        if (flow.waiting) {
            request = std::move(*flow.waiting);
            flow.waiting.reset();
            ++this->tally.retries;
        } else {
            request.key = service.name + "-" + std::to_string(this->host) + "-" + std::to_string(++this->nextKey);
            request.body.resize(this->random.below(service.bodyBytes) + 1);
            std::generate(request.body.begin(), request.body.end(), [this] { return static_cast<char>('a' + this->random.below(26)); });
            request.begun = nowMilliseconds();
            if (!service.isRepeatable) {
                this->tally.nonRepeatable.insert(request.key);
            }
        }
        request.id = ++flow.lastId;
        request.deadlineAt = nowMilliseconds() + deadline;
        request.parts.clear();
        request.interval = firstResend;
        request.nextSend = 0;
        flow.request = std::move(request);
    }

    void sendRequest(CallerFlow& flow)
    {
        CallerRequest& request = *flow.request;
        const Milliseconds now = nowMilliseconds();
        request.nextSend = now + request.interval;
        request.interval = std::min(request.interval * 3 / 2, lastResend);
        const bool hasSome = std::any_of(request.parts.begin(), request.parts.end(), [](const auto& part) { return part.has_value(); });
        if (hasSome) {
            lavender::AnswerAsk ask { .request = request.id };
            for (size_t part = 0; part < request.parts.size(); ++part) {
                if (!request.parts[part]) {
                    ask.missing.push_back(static_cast<uint16_t>(part));
                }
            }
            this->send(flow, PacketMark::Middle, ask);
            return;
        }
        const size_t count = std::max<size_t>((request.body.size() + lavender::maximumPartBytes - 1) / lavender::maximumPartBytes, 1);
        for (size_t part = 0; part < count; ++part) {
            lavender::RequestPart message { .request = request.id, .attempt = request.attempt, .part = static_cast<uint16_t>(part), .parts = static_cast<uint16_t>(count), .isRepeatable = this->services[flow.service].isRepeatable, .key = request.key };
            message.remaining = static_cast<uint32_t>(std::max<Milliseconds>(request.deadlineAt - now, 0));
            const std::string body = request.body.substr(part * lavender::maximumPartBytes, lavender::maximumPartBytes);
            message.body.assign(body.begin(), body.end());
            this->send(flow, PacketMark::Middle, message);
        }
    }

    void onDatagram(std::span<const uint8_t> bytes)
    {
        const absl::StatusOr<lavender::Message> message = lavender::decodeMessage(bytes);
        const auto* packet = message.ok() ? std::get_if<lavender::FlowPacket>(&*message) : nullptr;
        if (packet == nullptr || !packet->isToCaller) {
            return;
        }
        const auto flow = this->flows.find(packet->flow);
        const absl::StatusOr<lavender::Exchange> exchange = lavender::decodeExchange(packet->payload);
        if (flow == this->flows.end() || !exchange.ok() || flow->second.state == FlowState::Ended) {
            return;
        }
        if (const auto* part = std::get_if<lavender::AnswerPart>(&*exchange)) {
            this->onAnswer(flow->second, *part);
        } else if (const auto* notice = std::get_if<lavender::FlowNotice>(&*exchange)) {
            this->onNotice(flow->second, *notice);
        }
    }

    void onAnswer(CallerFlow& flow, const lavender::AnswerPart& part)
    {
        if (!flow.request || flow.request->id != part.request) {
            this->send(flow, PacketMark::Middle, lavender::AnswerAsk { .request = part.request });
            return;
        }
        CallerRequest& request = *flow.request;
        request.parts.resize(part.parts);
        request.parts[part.part] = part.body;
        request.nextSend = std::min(request.nextSend, nowMilliseconds() + firstResend / 2);
        if (!std::all_of(request.parts.begin(), request.parts.end(), [](const auto& entry) { return entry.has_value(); })) {
            return;
        }
        this->send(flow, PacketMark::Middle, lavender::AnswerAsk { .request = part.request });
        flow.timeouts = 0;
        if (part.verdict == Verdict::Answered) {
            this->checkAnswer(flow);
            this->endRequest(flow, Verdict::Answered, "answered", 0);
        } else {
            this->endRequest(flow, part.verdict, std::string(lavender::toString(part.reason)), part.retryAfter);
        }
    }

    void checkAnswer(const CallerFlow& flow)
    {
        std::string answer;
        for (const auto& part : flow.request->parts) {
            answer.append(part->begin(), part->end());
        }
        const std::string expected = this->services[flow.service].name + "\n" + flow.request->key + "\n" + flow.request->body + flow.request->body;
        this->tally.wrongAnswers += answer == expected ? 0 : 1;
        this->tally.latencies.push_back(static_cast<double>(nowMilliseconds() - flow.request->begun));
    }

    void endRequest(CallerFlow& flow, Verdict verdict, const std::string& reason, Milliseconds retryAfter)
    {
        CallerRequest request = std::move(*flow.request);
        flow.request.reset();
        const bool isRepeatable = this->services[flow.service].isRepeatable;
        if (verdict == Verdict::NotRun) {
            this->tally.refusedAttempts.insert(request.key + "/" + std::to_string(request.attempt));
        }
        const bool mayRetry = verdict == Verdict::NotRun || (verdict == Verdict::MayHaveRun && isRepeatable);
        if (mayRetry && request.attempt < maximumAttempts && !this->isEnding()) {
            ++request.attempt;
            flow.waiting = std::move(request);
            flow.nextRequest = nowMilliseconds() + retryAfter;
            return;
        }
        this->tally.answered += verdict == Verdict::Answered ? 1 : 0;
        this->tally.notRun += verdict == Verdict::NotRun ? 1 : 0;
        this->tally.mayHaveRun += verdict == Verdict::MayHaveRun ? 1 : 0;
        ++this->tally.reasons[reason];
        const uint32_t period = this->services[flow.service].period;
        flow.nextRequest = nowMilliseconds() + period / 2 + this->random.below(period);
        if (!flow.isLong) {
            this->beginClose(flow);
        }
    }

    void beginClose(CallerFlow& flow)
    {
        flow.state = FlowState::Closing;
        flow.begun = nowMilliseconds();
        flow.nextSend = 0;
        flow.interval = firstResend;
    }

    void onNotice(CallerFlow& flow, const lavender::FlowNotice& notice)
    {
        switch (notice.event) {
        case FlowEvent::Accepted:
            if (flow.state == FlowState::Opening) {
                flow.state = FlowState::Open;
                flow.zone = notice.zone;
                ++this->tally.opened;
            }
            break;
        case FlowEvent::Refused:
            if (flow.state == FlowState::Opening) {
                ++this->tally.refused;
                this->replace(flow, notice.retryAfter);
            }
            break;
        case FlowEvent::GivenUp:
            ++this->tally.givenUp;
            ++this->tally.givenUpByZone[notice.zone];
            if (flow.request) {
                const bool mayHaveRun = std::find(notice.mayHaveRun.begin(), notice.mayHaveRun.end(), flow.request->id) != notice.mayHaveRun.end();
                this->endRequest(flow, mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun, "zone_out", 0);
            }
            this->replace(flow, 0);
            break;
        case FlowEvent::Lost:
            this->breakFlow(flow, "lost");
            break;
        case FlowEvent::Closed:
            this->tally.closed += flow.state == FlowState::Closing ? 1 : 0;
            flow.state = FlowState::Ended;
            break;
        case FlowEvent::Open:
            break;
        }
    }

    void breakFlow(CallerFlow& flow, const std::string& why)
    {
        ++this->tally.broken;
        this->tally.brokenFlows.push_back(lavender::formatFlow(flow.key) + " of zone " + flow.zone + ": " + why + " after " + std::to_string(nowMilliseconds() - flow.begun) + " ms");
        if (flow.request) {
            this->endRequest(flow, Verdict::MayHaveRun, "flow_" + why, 0);
        }
        this->replace(flow, 0);
    }

    /** Ends a flow and carries its unfinished work over to a new one. */
    void replace(CallerFlow& flow, Milliseconds delay)
    {
        flow.state = FlowState::Ended;
        if (this->isEnding() || (!flow.isLong && !flow.waiting && flow.lastId > 0)) {
            return;
        }
        CallerFlow& next = this->openFlow(flow.service, flow.isLong);
        next.waiting = std::move(flow.waiting);
        next.nextSend = nowMilliseconds() + delay;
    }

    void tickFlow(CallerFlow& flow, Milliseconds now)
    {
        if (flow.state == FlowState::Opening || flow.state == FlowState::Closing) {
            const bool isOpening = flow.state == FlowState::Opening;
            if (now - flow.begun > (isOpening ? openingTime : closingTime)) {
                if (isOpening) {
                    ++this->tally.unopened;
                    flow.state = FlowState::Ended;
                } else {
                    this->breakFlow(flow, "silent at its close");
                }
                return;
            }
            if (now >= flow.nextSend) {
                flow.nextSend = now + flow.interval;
                flow.interval = std::min(flow.interval * 3 / 2, lastResend);
                this->send(flow, isOpening ? PacketMark::Opening : PacketMark::Closing, lavender::FlowNotice { .event = isOpening ? FlowEvent::Open : FlowEvent::Closed });
            }
            return;
        }
        if (flow.request && now > flow.request->deadlineAt + deadlineGrace) {
            ++flow.timeouts;
            this->endRequest(flow, Verdict::MayHaveRun, "timeout", 0);
            if (flow.timeouts >= timeoutsUntilBroken) {
                this->breakFlow(flow, "silent");
            }
            return;
        }
        if (flow.request && now >= flow.request->nextSend) {
            this->sendRequest(flow);
        } else if (!flow.request && this->isEnding()) {
            this->beginClose(flow);
        } else if (!flow.request && now >= flow.nextRequest) {
            this->newRequest(flow);
            this->sendRequest(flow);
        }
    }

    void tick()
    {
        const Milliseconds now = nowMilliseconds();
        for (size_t index = 0; index < this->services.size() && !this->isEnding(); ++index) {
            ServiceSpec& service = this->services[index];
            service.due += service.shortPerSecond * tickMilliseconds / 1000;
            for (; service.due >= 1; service.due -= 1) {
                this->openFlow(index, false);
            }
        }
        // A flow that ends may open another one: walk over the keys that were there before.
        std::vector<lavender::FlowKey> keys;
        keys.reserve(this->flows.size());
        for (const auto& [key, flow] : this->flows) {
            keys.push_back(key);
        }
        for (const lavender::FlowKey& key : keys) {
            const auto flow = this->flows.find(key);
            if (flow->second.state == FlowState::Ended) {
                this->flows.erase(flow);
            } else {
                this->tickFlow(flow->second, now);
            }
        }
        if (this->isEnding() && this->flows.empty() && !this->isDone) {
            this->isDone = true;
            this->writeRecord();
            kill(getpid(), SIGTERM);
        }
    }

    lavender::SeededRandom random;
    Address fabric;
    uint32_t host;
    std::string record;
    Milliseconds endAt;
    std::vector<ServiceSpec> services;
    std::unique_ptr<lavender::UdpSocket> socket;
    std::map<lavender::FlowKey, CallerFlow> flows;
    uint32_t nextPort = 1024;
    uint64_t nextKey = 0;
    Tally tally;
    bool isDone = false;
};

} // namespace

int main(int argc, char** argv)
{
    const CallerStandin callers(standin::readOptions(argc, argv));
    standin::runUntilSignal([] {});
    return 0;
}
