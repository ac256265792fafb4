/** @file caller_model.cpp Numbered datagrams as docs/design/exchange.md describes them, from the callers' side. */
#include "replay/caller_model.h"

#include "core/text_func.h"
#include "wire/codec_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration firstResend = 200ms;
    constexpr Duration lastResend = 800ms;
    constexpr Duration requestTime = 4s; ///< Deadline of each attempt.
    constexpr Duration answerGrace = 1s; ///< An answer may come this much later than its deadline.
    constexpr Duration openingTime = 15s;
    constexpr Duration closingTime = 8s;
    constexpr uint32_t maximumAttempts = 6;
    constexpr int timeoutsUntilBroken = 2;
    constexpr size_t recordedCases = 20;
    constexpr uint32_t lastPort = 65535;

    std::string caseOf(TimePoint now, const FlowKey& flow, std::string_view what)
    {
        return concat("at ", toMilliseconds(now), " ms: ", formatFlow(flow), ": ", what);
    }

} // namespace

void FaultRecord::note(std::string text)
{
    ++this->count;
    if (this->cases.size() < recordedCases) {
        this->cases.push_back(std::move(text));
    }
}

std::string expectedAnswer(std::string_view service, std::string_view key, std::string_view body)
{
    return concat(service, "\n", key, "\n", body, body);
}

size_t CallerModel::specIndex(const CallerSpec& spec)
{
    this->specs.push_back(spec);
    return this->specs.size() - 1;
}

void CallerModel::addLongFlows(TimePoint now, const CallerSpec& spec, uint32_t count, Duration over)
{
    const size_t index = this->specIndex(spec);
    for (uint32_t number = 0; number < count; ++number) {
        CallerFlow& flow = this->openFlow(now, index, true, now + over * number / std::max<uint32_t>(count, 1));
        // Long flows do not ask in step with each other.
        flow.nextRequest = flow.nextSend + this->random.jitter(spec.period);
    }
}

void CallerModel::addArrivals(TimePoint now, const CallerSpec& spec, double perSecond, TimePoint until)
{
    this->arrivals.push_back({ this->specIndex(spec), perSecond, until, now });
}

CallerModel::CallerFlow& CallerModel::openFlow(TimePoint now, size_t spec, bool isLong, TimePoint firstSend)
{
    this->nextPort = this->nextPort >= lastPort ? 1024 : this->nextPort + 1;
    this->host += this->nextPort == 1024 ? 1 : 0;
    CallerFlow flow { .key = { { this->host, static_cast<uint16_t>(this->nextPort) }, this->specs[spec].address }, .spec = spec, .isLong = isLong };
    flow.begun = std::max(now, firstSend);
    flow.nextSend = firstSend;
    flow.interval = firstResend;
    return this->flows[flow.key] = std::move(flow);
}

void CallerModel::sendPacket(const CallerFlow& flow, PacketMark mark, const Exchange& exchange, std::vector<FlowPacket>& out) const
{
    out.push_back({ .flow = flow.key, .mark = mark, .payload = encodeExchange(exchange) });
}

void CallerModel::beginRequest(TimePoint now, CallerFlow& flow)
{
    const CallerSpec& spec = this->specs[flow.spec];
    CallerRequest request;
    if (flow.waiting) {
        request = std::move(*flow.waiting);
        flow.waiting.reset();
        ++this->record.retries;
    } else {
        request.key = concat(spec.service, "-", this->host, "-", this->nextKey++);
        request.body.resize(this->random.below(spec.bodyBytes) + 1);
        std::generate(request.body.begin(), request.body.end(), [this] { return static_cast<char>('a' + this->random.below(26)); });
        request.begun = now;
        if (!spec.isRepeatable) {
            this->record.nonRepeatable.insert(request.key);
        }
    }
    request.id = ++flow.lastId;
    request.deadline = now + requestTime;
    request.parts.clear();
    request.interval = firstResend;
    flow.request = std::move(request);
}

void CallerModel::sendRequest(TimePoint now, CallerFlow& flow, std::vector<FlowPacket>& out)
{
    CallerRequest& request = *flow.request;
    request.nextSend = now + request.interval;
    request.interval = std::min<Duration>(request.interval * 3 / 2, lastResend);
    if (!request.parts.empty()) {
        AnswerAsk ask { .request = request.id };
        for (size_t part = 0; part < request.parts.size(); ++part) {
            if (!request.parts[part]) {
                ask.missing.push_back(static_cast<uint16_t>(part));
            }
        }
        this->sendPacket(flow, PacketMark::Middle, ask, out);
        return;
    }
    const size_t count = std::max<size_t>((request.body.size() + maximumPartBytes - 1) / maximumPartBytes, 1);
    for (size_t part = 0; part < count; ++part) {
        RequestPart message { .request = request.id, .attempt = request.attempt, .part = static_cast<uint16_t>(part), .parts = static_cast<uint16_t>(count), .isRepeatable = this->specs[flow.spec].isRepeatable, .key = request.key };
        message.remaining = static_cast<uint32_t>(std::max(toMilliseconds(request.deadline - now), 0LL));
        const std::string body = request.body.substr(part * maximumPartBytes, maximumPartBytes);
        message.body.assign(body.begin(), body.end());
        this->sendPacket(flow, PacketMark::Middle, message, out);
    }
}

void CallerModel::onPacket(TimePoint now, const FlowPacket& packet, std::vector<FlowPacket>& out)
{
    const auto flow = this->flows.find(packet.flow);
    const absl::StatusOr<Exchange> exchange = decodeExchange(packet.payload);
    if (flow == this->flows.end() || !exchange.ok() || flow->second.state == FlowState::Ended) {
        return;
    }
    if (const auto* part = std::get_if<AnswerPart>(&*exchange)) {
        this->onAnswer(now, flow->second, *part, out);
    } else if (const auto* notice = std::get_if<FlowNotice>(&*exchange)) {
        this->onNotice(now, flow->second, *notice);
    }
}

void CallerModel::onAnswer(TimePoint now, CallerFlow& flow, const AnswerPart& part, std::vector<FlowPacket>& out)
{
    if (!flow.request || flow.request->id != part.request) {
        this->sendPacket(flow, PacketMark::Middle, AnswerAsk { .request = part.request }, out);
        return;
    }
    CallerRequest& request = *flow.request;
    request.parts.resize(part.parts);
    request.parts[part.part] = part.body;
    request.nextSend = std::min(request.nextSend, now + firstResend / 2);
    if (!std::all_of(request.parts.begin(), request.parts.end(), [](const auto& entry) { return entry.has_value(); })) {
        return;
    }
    this->sendPacket(flow, PacketMark::Middle, AnswerAsk { .request = part.request }, out);
    flow.timeouts = 0;
    if (part.verdict != Verdict::Answered) {
        this->endRequest(now, flow, part.verdict, toString(part.reason), std::chrono::milliseconds(part.retryAfter));
        return;
    }
    std::string answer;
    for (const auto& entry : request.parts) {
        answer.append(entry->begin(), entry->end());
    }
    if (answer != expectedAnswer(this->specs[flow.spec].service, request.key, request.body)) {
        this->record.wrongAnswers.note(caseOf(now, flow.key, concat("request ", request.id, " got another answer")));
    }
    this->record.latencies.push_back(static_cast<uint32_t>(toMilliseconds(now - request.begun)));
    this->endRequest(now, flow, Verdict::Answered, "answered", Duration {});
}

void CallerModel::endRequest(TimePoint now, CallerFlow& flow, Verdict verdict, std::string_view reason, Duration retryAfter)
{
    CallerRequest request = std::move(*flow.request);
    flow.request.reset();
    const CallerSpec& spec = this->specs[flow.spec];
    if (verdict == Verdict::NotRun) {
        this->record.refusedAttempts.insert(concat(request.key, "/", request.attempt));
    }
    const bool mayRetry = verdict == Verdict::NotRun || (verdict == Verdict::MayHaveRun && spec.isRepeatable);
    if (mayRetry && request.attempt < maximumAttempts && !this->isEnding(now)) {
        ++request.attempt;
        flow.waiting = std::move(request);
        flow.nextRequest = now + retryAfter;
        return;
    }
    this->record.answered += verdict == Verdict::Answered ? 1 : 0;
    this->record.notRun += verdict == Verdict::NotRun ? 1 : 0;
    this->record.mayHaveRun += verdict == Verdict::MayHaveRun ? 1 : 0;
    ++this->record.reasons[std::string(reason)];
    flow.nextRequest = now + spec.period / 2 + this->random.jitter(spec.period);
    if (!flow.isLong) {
        this->beginClose(now, flow);
    }
}

void CallerModel::beginClose(TimePoint now, CallerFlow& flow)
{
    flow.state = FlowState::Closing;
    flow.begun = now;
    flow.nextSend = now;
    flow.interval = firstResend;
}

void CallerModel::onNotice(TimePoint now, CallerFlow& flow, const FlowNotice& notice)
{
    switch (notice.event) {
    case FlowEvent::Accepted:
        if (flow.state == FlowState::Opening) {
            flow.state = FlowState::Open;
            ++this->record.opened;
        }
        break;
    case FlowEvent::Refused:
        if (flow.state == FlowState::Opening) {
            ++this->record.refused;
            this->replaceFlow(now, flow, std::chrono::milliseconds(notice.retryAfter));
        }
        break;
    case FlowEvent::GivenUp:
        ++this->record.givenUp;
        ++this->record.givenUpByZone[notice.zone];
        if (flow.request) {
            const bool mayHaveRun = std::find(notice.mayHaveRun.begin(), notice.mayHaveRun.end(), flow.request->id) != notice.mayHaveRun.end();
            this->endRequest(now, flow, mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun, "zone_out", Duration {});
        }
        this->replaceFlow(now, flow, Duration {});
        break;
    case FlowEvent::Lost:
        this->breakFlow(now, flow, "lost");
        break;
    case FlowEvent::Closed:
        this->record.closed += flow.state == FlowState::Closing ? 1 : 0;
        flow.state = FlowState::Ended;
        break;
    case FlowEvent::Open:
        break;
    }
}

void CallerModel::breakFlow(TimePoint now, CallerFlow& flow, std::string_view why)
{
    this->record.broken.note(caseOf(now, flow.key, why));
    if (flow.request) {
        this->endRequest(now, flow, Verdict::MayHaveRun, concat("flow_", why), Duration {});
    }
    this->replaceFlow(now, flow, Duration {});
}

/** Ends a flow and carries its unfinished work over to a new one. */
void CallerModel::replaceFlow(TimePoint now, CallerFlow& flow, Duration delay)
{
    flow.state = FlowState::Ended;
    if (this->isEnding(now) || (!flow.isLong && !flow.waiting && flow.lastId > 0)) {
        return;
    }
    CallerFlow& next = this->openFlow(now, flow.spec, flow.isLong, now + delay);
    next.waiting = std::move(flow.waiting);
}

void CallerModel::tickHandshake(TimePoint now, CallerFlow& flow, std::vector<FlowPacket>& out)
{
    const bool isOpening = flow.state == FlowState::Opening;
    if (now - flow.begun > (isOpening ? openingTime : closingTime)) {
        if (isOpening) {
            this->record.unopened.note(caseOf(now, flow.key, "nobody took it"));
            flow.state = FlowState::Ended;
        } else {
            this->breakFlow(now, flow, "silent at its close");
        }
        return;
    }
    if (now < flow.nextSend) {
        return;
    }
    flow.nextSend = now + flow.interval;
    flow.interval = std::min<Duration>(flow.interval * 3 / 2, lastResend);
    const FlowNotice notice { .event = isOpening ? FlowEvent::Open : FlowEvent::Closed };
    this->sendPacket(flow, isOpening ? PacketMark::Opening : PacketMark::Closing, notice, out);
}

void CallerModel::tickFlow(TimePoint now, CallerFlow& flow, std::vector<FlowPacket>& out)
{
    if (flow.state != FlowState::Open) {
        this->tickHandshake(now, flow, out);
        return;
    }
    if (flow.request && now > flow.request->deadline + answerGrace) {
        ++flow.timeouts;
        this->endRequest(now, flow, Verdict::MayHaveRun, "timeout", Duration {});
        if (flow.timeouts >= timeoutsUntilBroken) {
            this->breakFlow(now, flow, "silent");
        }
        return;
    }
    if (flow.request && now >= flow.request->nextSend) {
        this->sendRequest(now, flow, out);
    } else if (!flow.request && this->isEnding(now)) {
        this->beginClose(now, flow);
    } else if (!flow.request && now >= flow.nextRequest) {
        this->beginRequest(now, flow);
        this->sendRequest(now, flow, out);
    }
}

void CallerModel::tick(TimePoint now, std::vector<FlowPacket>& out)
{
    for (Arrivals& source : this->arrivals) {
        const TimePoint end = std::min({ now, source.until, this->ending });
        if (end <= source.last) {
            continue;
        }
        source.due += source.perSecond * std::chrono::duration<double>(end - source.last).count();
        source.last = end;
        for (; source.due >= 1; source.due -= 1) {
            this->openFlow(now, source.spec, false, now);
        }
    }
    // Inserting into the map while walking it is harmless: a flow opened on the way is ticked now or next time.
    for (auto flow = this->flows.begin(); flow != this->flows.end();) {
        if (flow->second.state == FlowState::Ended) {
            flow = this->flows.erase(flow);
        } else {
            this->tickFlow(now, flow->second, out);
            ++flow;
        }
    }
}

} // namespace lavender
