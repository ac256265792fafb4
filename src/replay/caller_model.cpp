/** @file caller_model.cpp The callers' side of the exchange that docs/design/exchange.md specifies. */
#include "replay/caller_model.h"

#include "core/text_func.h"
#include "wire/codec_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration initialResendInterval = 200ms;
    constexpr Duration maximumResendInterval = 800ms;
    constexpr Duration attemptTimeout = 4s; ///< Time from the start of an attempt to its deadline.
    constexpr Duration answerGrace = 1s; ///< How long after the deadline an answer is still accepted.
    constexpr Duration openingTimeout = 15s; ///< A flow that is not accepted by then counts as unopened.
    constexpr Duration closingTimeout = 8s; ///< A flow whose close is not confirmed by then counts as broken.
    constexpr uint32_t maximumAttempts = 6; ///< Attempts of one request, the first included.
    constexpr int timeoutsUntilBroken = 2; ///< A flow counts as broken after so many consecutive requests without an answer.
    constexpr size_t maximumCases = 20; ///< Descriptions kept in a FaultRecord.
    constexpr uint32_t highestPort = 65535;

    std::string describeCase(TimePoint now, const FlowKey& flow, std::string_view what)
    {
        return concat("at ", toMilliseconds(now), " ms: ", formatFlow(flow), ": ", what);
    }

} // namespace

void FaultRecord::add(std::string text)
{
    ++this->count;
    if (this->cases.size() < maximumCases) {
        this->cases.push_back(std::move(text));
    }
}

std::string expectedAnswer(std::string_view service, std::string_view key, std::string_view body)
{
    return concat(service, "\n", key, "\n", body, body);
}

size_t CallerModel::addSpec(const CallerSpec& spec)
{
    this->specs.push_back(spec);
    return this->specs.size() - 1;
}

void CallerModel::addLongFlows(TimePoint now, const CallerSpec& spec, uint32_t count, Duration spread)
{
    const size_t specIndex = this->addSpec(spec);
    for (uint32_t number = 0; number < count; ++number) {
        CallerFlow& flow = this->openFlow(now, specIndex, true, now + spread * number / std::max<uint32_t>(count, 1));
        // Jittered, so that the requests of long flows are not synchronised.
        flow.nextRequest = flow.nextSend + this->random.jitter(spec.requestPeriod);
    }
}

void CallerModel::addArrivals(TimePoint now, const CallerSpec& spec, double perSecond, TimePoint until)
{
    this->arrivals.push_back({ this->addSpec(spec), perSecond, until, now });
}

CallerModel::CallerFlow& CallerModel::openFlow(TimePoint now, size_t specIndex, bool isLong, TimePoint firstSend)
{
    this->currentPort = this->currentPort >= highestPort ? 1024 : this->currentPort + 1;
    this->host += this->currentPort == 1024 ? 1 : 0;
    CallerFlow flow {
        .key = { { this->host, static_cast<uint16_t>(this->currentPort) }, this->specs[specIndex].address },
        .specIndex = specIndex,
        .isLong = isLong,
    };
    flow.startedAt = std::max(now, firstSend);
    flow.nextSend = firstSend;
    flow.resendInterval = initialResendInterval;
    return this->flows[flow.key] = std::move(flow);
}

void CallerModel::sendPacket(const CallerFlow& flow, PacketMark mark, const FlowPayload& payload, std::vector<FlowPacket>& out) const
{
    out.push_back({ .flow = flow.key, .mark = mark, .payload = encodePayload(payload) });
}

void CallerModel::beginRequest(TimePoint now, CallerFlow& flow)
{
    const CallerSpec& spec = this->specs[flow.specIndex];
    CallerRequest request;
    if (flow.retry) {
        request = std::move(*flow.retry);
        flow.retry.reset();
        ++this->counts.retries;
    } else {
        request.key = concat(spec.service, "-", this->host, "-", this->nextKey++);
        request.body.resize(this->random.below(spec.bodyBytes) + 1);
        std::generate(request.body.begin(), request.body.end(), [this] { return static_cast<char>('a' + this->random.below(26)); });
        request.startedAt = now;
        if (!spec.isIdempotent) {
            this->counts.nonRepeatable.insert(request.key);
        }
    }
    request.id = ++flow.lastRequestId;
    request.deadline = now + attemptTimeout;
    request.parts.clear();
    request.resendInterval = initialResendInterval;
    flow.request = std::move(request);
}

void CallerModel::sendRequest(TimePoint now, CallerFlow& flow, std::vector<FlowPacket>& out)
{
    CallerRequest& request = *flow.request;
    request.nextSend = now + request.resendInterval;
    request.resendInterval = std::min<Duration>(request.resendInterval * 3 / 2, maximumResendInterval);
    if (!request.parts.empty()) {
        AnswerAck ack { .requestId = request.id };
        for (size_t part = 0; part < request.parts.size(); ++part) {
            if (!request.parts[part]) {
                ack.missing.push_back(static_cast<uint16_t>(part));
            }
        }
        this->sendPacket(flow, PacketMark::Established, ack, out);
        return;
    }
    const size_t count = std::max<size_t>((request.body.size() + maximumPartBytes - 1) / maximumPartBytes, 1);
    for (size_t part = 0; part < count; ++part) {
        RequestPart message {
            .requestId = request.id,
            .attempt = request.attempt,
            .partIndex = static_cast<uint16_t>(part),
            .partCount = static_cast<uint16_t>(count),
            .isIdempotent = this->specs[flow.specIndex].isIdempotent,
            .key = request.key,
        };
        message.remainingMs = static_cast<uint32_t>(std::max(toMilliseconds(request.deadline - now), 0LL));
        const std::string body = request.body.substr(part * maximumPartBytes, maximumPartBytes);
        message.body.assign(body.begin(), body.end());
        this->sendPacket(flow, PacketMark::Established, message, out);
    }
}

void CallerModel::onPacket(TimePoint now, const FlowPacket& packet, std::vector<FlowPacket>& out)
{
    const auto flow = this->flows.find(packet.flow);
    const absl::StatusOr<FlowPayload> payload = decodePayload(packet.payload);
    if (flow == this->flows.end() || !payload.ok() || flow->second.state == FlowState::Ended) {
        return;
    }
    if (const auto* part = std::get_if<AnswerPart>(&*payload)) {
        this->onAnswerPart(now, flow->second, *part, out);
    } else if (const auto* notice = std::get_if<FlowNotice>(&*payload)) {
        this->onNotice(now, flow->second, *notice);
    }
}

void CallerModel::onAnswerPart(TimePoint now, CallerFlow& flow, const AnswerPart& part, std::vector<FlowPacket>& out)
{
    if (!flow.request || flow.request->id != part.requestId) {
        // A late answer to a finished request: confirming it stops the agent from sending it again.
        this->sendPacket(flow, PacketMark::Established, AnswerAck { .requestId = part.requestId }, out);
        return;
    }
    CallerRequest& request = *flow.request;
    request.parts.resize(part.partCount);
    request.parts[part.partIndex] = part.body;
    request.nextSend = std::min(request.nextSend, now + initialResendInterval / 2);
    if (!std::all_of(request.parts.begin(), request.parts.end(), [](const auto& entry) { return entry.has_value(); })) {
        return;
    }
    this->sendPacket(flow, PacketMark::Established, AnswerAck { .requestId = part.requestId }, out);
    flow.consecutiveTimeouts = 0;
    if (part.verdict != Verdict::Answered) {
        this->finishRequest(now, flow, part.verdict, toString(part.reason), std::chrono::milliseconds(part.retryAfterMs));
        return;
    }
    std::string answer;
    for (const auto& entry : request.parts) {
        answer.append(entry->begin(), entry->end());
    }
    if (answer != expectedAnswer(this->specs[flow.specIndex].service, request.key, request.body)) {
        this->counts.wrongAnswers.add(describeCase(now, flow.key, concat("request ", request.id, " got another answer")));
    }
    this->counts.latencies.push_back(static_cast<uint32_t>(toMilliseconds(now - request.startedAt)));
    this->finishRequest(now, flow, Verdict::Answered, "answered", Duration {});
}

void CallerModel::finishRequest(TimePoint now, CallerFlow& flow, Verdict verdict, std::string_view reason, Duration retryAfter)
{
    CallerRequest request = std::move(*flow.request);
    flow.request.reset();
    const CallerSpec& spec = this->specs[flow.specIndex];
    if (verdict == Verdict::NotRun) {
        this->counts.refusedAttempts.insert(concat(request.key, "/", request.attempt));
    }
    const bool mayRetry = verdict == Verdict::NotRun || (verdict == Verdict::MayHaveRun && spec.isIdempotent);
    if (mayRetry && request.attempt < maximumAttempts && !this->isPastEnd(now)) {
        ++request.attempt;
        flow.retry = std::move(request);
        flow.nextRequest = now + retryAfter;
        return;
    }
    this->counts.answered += verdict == Verdict::Answered ? 1 : 0;
    this->counts.notRun += verdict == Verdict::NotRun ? 1 : 0;
    this->counts.mayHaveRun += verdict == Verdict::MayHaveRun ? 1 : 0;
    ++this->counts.reasons[std::string(reason)];
    flow.nextRequest = now + spec.requestPeriod / 2 + this->random.jitter(spec.requestPeriod);
    if (!flow.isLong) {
        this->beginClose(now, flow);
    }
}

void CallerModel::beginClose(TimePoint now, CallerFlow& flow)
{
    flow.state = FlowState::Closing;
    flow.startedAt = now;
    flow.nextSend = now;
    flow.resendInterval = initialResendInterval;
}

void CallerModel::onNotice(TimePoint now, CallerFlow& flow, const FlowNotice& notice)
{
    switch (notice.event) {
    case FlowEvent::Accepted:
        if (flow.state == FlowState::Opening) {
            flow.state = FlowState::Open;
            ++this->counts.opened;
        }
        break;
    case FlowEvent::Refused:
        if (flow.state == FlowState::Opening) {
            ++this->counts.refused;
            this->replaceFlow(now, flow, std::chrono::milliseconds(notice.retryAfterMs));
        }
        break;
    case FlowEvent::GivenUp:
        ++this->counts.givenUp;
        ++this->counts.givenUpByZone[notice.zone];
        if (flow.request) {
            this->finishRequest(now, flow, notice.mayRequestHaveRun(flow.request->id) ? Verdict::MayHaveRun : Verdict::NotRun, "zone_out", Duration {});
        }
        this->replaceFlow(now, flow, Duration {});
        break;
    case FlowEvent::Lost:
        this->failFlow(now, flow, "lost");
        break;
    case FlowEvent::Closed:
        this->counts.closed += flow.state == FlowState::Closing ? 1 : 0;
        flow.state = FlowState::Ended;
        break;
    case FlowEvent::Open:
        break;
    }
}

void CallerModel::failFlow(TimePoint now, CallerFlow& flow, std::string_view reason)
{
    this->counts.broken.add(describeCase(now, flow.key, reason));
    if (flow.request) {
        this->finishRequest(now, flow, Verdict::MayHaveRun, concat("flow_", reason), Duration {});
    }
    this->replaceFlow(now, flow, Duration {});
}

void CallerModel::replaceFlow(TimePoint now, CallerFlow& flow, Duration delay)
{
    flow.state = FlowState::Ended;
    if (this->isPastEnd(now) || (!flow.isLong && !flow.retry && flow.lastRequestId > 0)) {
        return;
    }
    CallerFlow& next = this->openFlow(now, flow.specIndex, flow.isLong, now + delay);
    next.retry = std::move(flow.retry);
}

void CallerModel::tickHandshake(TimePoint now, CallerFlow& flow, std::vector<FlowPacket>& out)
{
    const bool isOpening = flow.state == FlowState::Opening;
    if (now - flow.startedAt > (isOpening ? openingTimeout : closingTimeout)) {
        if (isOpening) {
            this->counts.unopened.add(describeCase(now, flow.key, "nobody took it"));
            flow.state = FlowState::Ended;
        } else {
            this->failFlow(now, flow, "silent at its close");
        }
        return;
    }
    if (now < flow.nextSend) {
        return;
    }
    flow.nextSend = now + flow.resendInterval;
    flow.resendInterval = std::min<Duration>(flow.resendInterval * 3 / 2, maximumResendInterval);
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
        ++flow.consecutiveTimeouts;
        this->finishRequest(now, flow, Verdict::MayHaveRun, "timeout", Duration {});
        if (flow.consecutiveTimeouts >= timeoutsUntilBroken) {
            this->failFlow(now, flow, "silent");
        }
        return;
    }
    if (flow.request && now >= flow.request->nextSend) {
        this->sendRequest(now, flow, out);
    } else if (!flow.request && this->isPastEnd(now)) {
        this->beginClose(now, flow);
    } else if (!flow.request && now >= flow.nextRequest) {
        this->beginRequest(now, flow);
        this->sendRequest(now, flow, out);
    }
}

void CallerModel::tick(TimePoint now, std::vector<FlowPacket>& out)
{
    for (Arrivals& source : this->arrivals) {
        const TimePoint end = std::min({ now, source.until, this->endTime });
        if (end <= source.lastTick) {
            continue;
        }
        source.pendingFlows += source.perSecond * std::chrono::duration<double>(end - source.lastTick).count();
        source.lastTick = end;
        for (; source.pendingFlows >= 1; source.pendingFlows -= 1) {
            this->openFlow(now, source.specIndex, false, now);
        }
    }
    // Flows may be inserted during the iteration: iterators stay valid, and a new flow is ticked now or next time.
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
