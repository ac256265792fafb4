/** @file request.cpp Reassembly, admission and hand-over of requests; verdicts and answers to callers. */
#include "agent/request_base.h"

#include "wire/codec_func.h"

#include <algorithm>
#include <cmath>

namespace lavender {

namespace {

    constexpr Duration answerRetention = 30s; ///< Time for which an unconfirmed answer is kept.
    constexpr Duration confirmWait = 3s; ///< A flow is not moved before its unconfirmed answers are this old.
    constexpr Duration keyRetention = 10min; ///< Time for which an idempotency key is remembered after the hand-over.
    constexpr size_t queuePerSlot = 8; ///< Queue capacity for each slot of the upstream.
    constexpr Duration minimumRetryDelay = 50ms; ///< Lower bound of retryAfter().
    constexpr Duration maximumDeadline = 10min; ///< Upper bound of the remaining time that a caller may ask for.

    FlowPacket packetToCaller(const FlowKey& flow, const FlowPayload& payload)
    {
        return { .flow = flow, .mark = PacketMark::Established, .isToCaller = true, .payload = encodePayload(payload) };
    }

    uint16_t partCount(const Bytes& answer)
    {
        return static_cast<uint16_t>(std::max<size_t>((answer.size() + maximumPartBytes - 1) / maximumPartBytes, 1));
    }

} // namespace

RequestSystem::RequestSystem(std::string service, FlowTable& flows, Random& random, Counters& counters)
    : service(std::move(service))
    , flows(flows)
    , random(random)
    , counters(counters)
{
}

void RequestSystem::onPart(TimePoint now, Flow& flow, const RequestPart& part, Actions& actions)
{
    Request* request = flow.find(part.requestId);
    if (request == nullptr) {
        if (flow.finished.contains(part.requestId)) {
            this->counters.add(Counter::RequestsRepeated);
            return;
        }
        if (!this->isAcceptingWork) {
            return; // The flow is about to move or end; after a move the caller's retransmission reaches the next owner.
        }
        Request created {
            .id = part.requestId,
            .attempt = part.attempt,
            .isIdempotent = part.isIdempotent,
            .key = part.key,
        };
        created.deadline = now + std::min<Duration>(std::chrono::milliseconds(part.remainingMs), maximumDeadline);
        created.parts.resize(part.partCount);
        created.received.resize(part.partCount);
        const auto position = std::lower_bound(
            flow.requests.begin(), flow.requests.end(), part.requestId, [](const Request& entry, uint64_t id) { return entry.id < id; });
        request = &*flow.requests.insert(position, std::move(created));
    }
    if (request->state == RequestState::Ended) {
        this->counters.add(Counter::RequestsRepeated);
        this->sendAnswer(flow, *request, {}, actions);
        return;
    }
    if (request->state != RequestState::Collecting || part.partCount != request->parts.size() || request->received[part.partIndex]) {
        this->counters.add(Counter::RequestsRepeated);
        return;
    }
    request->parts[part.partIndex] = part.body;
    request->received[part.partIndex] = true;
    if (std::all_of(request->received.begin(), request->received.end(), [](bool isReceived) { return isReceived; })) {
        this->admit(now, flow, *request, actions);
    }
}

void RequestSystem::admit(TimePoint now, Flow& flow, Request& request, Actions& actions)
{
    const auto known = this->keys.find(request.key);
    if (!request.key.empty() && !request.isIdempotent && known != this->keys.end() && known->second.mayHaveRun) {
        this->endRequest(now, flow, request, Verdict::MayHaveRun, VerdictReason::Cancelled, actions);
        return;
    }
    if (now >= request.deadline) {
        this->endRequest(now, flow, request, Verdict::NotRun, VerdictReason::DeadlineExpired, actions);
        return;
    }
    if (this->inFlight() < this->limiter.limit() && this->queue.empty()) {
        this->dispatch(now, flow, request, actions);
        return;
    }
    if (this->queue.size() >= queuePerSlot * this->limiter.maximum()) {
        this->endRequest(now, flow, request, Verdict::NotRun, VerdictReason::QueueFull, actions);
        return;
    }
    request.state = RequestState::Queued;
    this->queue.emplace(request.deadline, RequestRef { flow.key, request.id });
}

void RequestSystem::dispatch(TimePoint now, Flow& flow, Request& request, Actions& actions)
{
    StartUpstreamRequest action {
        .id = UpstreamRequestId { this->nextUpstreamRequestId++ },
        .service = this->service,
        .key = request.key,
        .attempt = request.attempt,
        .remaining = request.deadline - now,
    };
    for (Bytes& part : request.parts) {
        action.body.insert(action.body.end(), part.begin(), part.end());
        Bytes().swap(part);
    }
    request.state = RequestState::HandedOver;
    request.upstreamRequestId = action.id;
    request.handedOverAt = now;
    this->running[action.id.value] = { flow.key, request.id };
    this->limiter.onStarted(now, this->inFlight());
    if (!request.key.empty() && !request.isIdempotent) {
        this->keys[request.key] = { .mayHaveRun = true, .expires = now + keyRetention };
        this->keyExpiry.emplace(now + keyRetention, request.key);
    }
    this->counters.add(Counter::RequestsHandedOver);
    actions.push_back(std::move(action));
}

void RequestSystem::endRequest(TimePoint now, Flow& flow, Request& request, Verdict verdict, VerdictReason reason, Actions& actions)
{
    if (request.state == RequestState::HandedOver) {
        this->running.erase(request.upstreamRequestId.value);
    }
    request.state = RequestState::Ended;
    request.verdict = verdict;
    request.reason = reason;
    request.endedAt = now;
    request.retryAfterMs = verdict == Verdict::NotRun ? this->retryAfter() : 0;
    request.parts.clear();
    this->ended.emplace(now, RequestRef { flow.key, request.id });
    switch (verdict) {
    case Verdict::Answered:
        this->counters.add(Counter::RequestsAnswered);
        break;
    case Verdict::NotRun:
        this->counters.add(Counter::RequestsNotRun);
        break;
    case Verdict::MayHaveRun:
        this->counters.add(Counter::RequestsMayHaveRun);
        break;
    }
    this->sendAnswer(flow, request, {}, actions);
}

void RequestSystem::sendAnswer(const Flow& flow, const Request& request, std::span<const uint16_t> parts, Actions& actions) const
{
    const uint16_t count = partCount(request.answer);
    for (uint16_t part = 0; part < count; ++part) {
        if (!parts.empty() && std::find(parts.begin(), parts.end(), part) == parts.end()) {
            continue;
        }
        AnswerPart message {
            .requestId = request.id,
            .attempt = request.attempt,
            .partIndex = part,
            .partCount = count,
            .verdict = request.verdict,
            .reason = request.reason,
            .retryAfterMs = request.retryAfterMs,
        };
        const size_t from = part * maximumPartBytes;
        const size_t length = std::min(maximumPartBytes, request.answer.size() - from);
        const auto begin = request.answer.begin() + static_cast<std::ptrdiff_t>(from);
        message.body.assign(begin, begin + static_cast<std::ptrdiff_t>(length));
        actions.push_back(SendToCaller { packetToCaller(flow.key, message) });
    }
}

void RequestSystem::onAnswerAck(TimePoint /*now*/, Flow& flow, const AnswerAck& ack, Actions& actions)
{
    Request* request = flow.find(ack.requestId);
    if (request == nullptr || request->state != RequestState::Ended) {
        return;
    }
    if (!ack.missing.empty()) {
        this->sendAnswer(flow, *request, ack.missing, actions);
        return;
    }
    flow.finished.add(ack.requestId);
    flow.requests.erase(flow.requests.begin() + (request - flow.requests.data()));
}

Request* RequestSystem::resolve(const RequestRef& ref, Flow** flow)
{
    const auto found = this->flows.find(ref.flow);
    if (found == this->flows.end()) {
        return nullptr;
    }
    *flow = &found->second;
    return found->second.find(ref.request);
}

void RequestSystem::onUpstreamResult(TimePoint now, const UpstreamResult& result, Actions& actions)
{
    const auto found = this->running.find(result.id.value);
    if (found == this->running.end()) {
        this->counters.add(Counter::AnswersLate);
        return;
    }
    Flow* flow = nullptr;
    Request* request = this->resolve(found->second, &flow);
    if (request == nullptr) {
        this->running.erase(found);
        return;
    }
    if (result.outcome == UpstreamOutcome::Answered && result.answer.size() <= maximumPartBytes * maximumParts) {
        this->limiter.onCompleted(now, now - request->handedOverAt);
        this->lastAnswer = now;
        this->latency(std::chrono::duration<double, std::milli>(now - request->handedOverAt).count());
        request->answer = result.answer;
        this->endRequest(now, *flow, *request, Verdict::Answered, VerdictReason::None, actions);
    } else {
        this->counters.add(Counter::UpstreamFailures);
        // A shed proves that the upstream is running. A failed exchange or connection may mean that it restarted and is cold.
        result.outcome == UpstreamOutcome::Shed ? this->limiter.onShed(now) : this->limiter.onColdStart();
        const bool wasNeverSent = result.outcome == UpstreamOutcome::Unreachable;
        if (wasNeverSent) {
            this->keys.erase(request->key);
        }
        const VerdictReason reason = result.outcome == UpstreamOutcome::Shed ? VerdictReason::UpstreamShed : VerdictReason::UpstreamFailed;
        this->endRequest(now, *flow, *request, wasNeverSent ? Verdict::NotRun : Verdict::MayHaveRun, reason, actions);
    }
    this->dispatchQueued(now, actions);
}

void RequestSystem::dispatchQueued(TimePoint now, Actions& actions)
{
    while (this->isAcceptingWork && !this->queue.empty() && this->inFlight() < this->limiter.limit()) {
        const RequestRef ref = this->queue.begin()->second;
        this->queue.erase(this->queue.begin());
        Flow* flow = nullptr;
        Request* request = this->resolve(ref, &flow);
        if (request == nullptr || request->state != RequestState::Queued) {
            continue;
        }
        if (now >= request->deadline) {
            this->endRequest(now, *flow, *request, Verdict::NotRun, VerdictReason::DeadlineExpired, actions);
            continue;
        }
        this->dispatch(now, *flow, *request, actions);
    }
}

void RequestSystem::endOverdue(TimePoint now, Actions& actions)
{
    while (!this->queue.empty() && this->queue.begin()->first <= now) {
        const RequestRef ref = this->queue.begin()->second;
        this->queue.erase(this->queue.begin());
        Flow* flow = nullptr;
        Request* request = this->resolve(ref, &flow);
        if (request != nullptr && request->state == RequestState::Queued) {
            this->endRequest(now, *flow, *request, Verdict::NotRun, VerdictReason::DeadlineExpired, actions);
        }
    }
    std::vector<RequestRef> overdue;
    for (const auto& [id, ref] : this->running) {
        Flow* flow = nullptr;
        const Request* request = this->resolve(ref, &flow);
        if (request != nullptr && now >= request->deadline) {
            overdue.push_back(ref);
        }
    }
    for (const RequestRef& ref : overdue) {
        Flow* flow = nullptr;
        Request* request = this->resolve(ref, &flow);
        actions.push_back(CancelUpstreamRequest { request->upstreamRequestId });
        this->endRequest(now, *flow, *request, Verdict::MayHaveRun, VerdictReason::DeadlineExpired, actions);
    }
}

void RequestSystem::forgetExpired(TimePoint now)
{
    while (!this->ended.empty() && now - this->ended.begin()->first >= answerRetention) {
        Flow* flow = nullptr;
        const Request* request = this->resolve(this->ended.begin()->second, &flow);
        if (request != nullptr && request->state == RequestState::Ended) {
            flow->finished.add(request->id);
            flow->requests.erase(flow->requests.begin() + (request - flow->requests.data()));
        }
        this->ended.erase(this->ended.begin());
    }
    while (!this->keyExpiry.empty() && this->keyExpiry.begin()->first <= now) {
        const auto key = this->keys.find(this->keyExpiry.begin()->second);
        if (key != this->keys.end() && key->second.expires <= now) {
            this->keys.erase(key);
        }
        this->keyExpiry.erase(this->keyExpiry.begin());
    }
}

void RequestSystem::tick(TimePoint now, Actions& actions)
{
    this->endOverdue(now, actions);
    this->forgetExpired(now);
    this->dispatchQueued(now, actions);
}

FinishedRequests RequestSystem::endFlow(TimePoint now, Flow& flow, VerdictReason reason, Actions& actions)
{
    // The caller may lack the answer to a finished request too: one may be dropped without an acknowledgement.
    FinishedRequests mayHaveRun = flow.finished;
    for (Request& request : flow.requests) {
        if (request.state == RequestState::HandedOver) {
            actions.push_back(CancelUpstreamRequest { request.upstreamRequestId });
            this->endRequest(now, flow, request, Verdict::MayHaveRun, reason, actions);
        } else if (request.state != RequestState::Ended) {
            this->endRequest(now, flow, request, Verdict::NotRun, reason, actions);
        }
        if (request.verdict != Verdict::NotRun) {
            mayHaveRun.add(request.id);
        }
    }
    return mayHaveRun;
}

void RequestSystem::discardBeforeMove(TimePoint now, Flow& flow)
{
    std::erase_if(flow.requests, [&](const Request& request) {
        if (request.state == RequestState::Ended && now - request.endedAt >= confirmWait) {
            flow.finished.add(request.id);
            return true;
        }
        return request.state == RequestState::Collecting || request.state == RequestState::Queued;
    });
}

bool RequestSystem::isReadyToMove(TimePoint now, const Flow& flow) const
{
    return std::all_of(flow.requests.begin(), flow.requests.end(), [now](const Request& request) {
        const bool awaitsConfirmation = request.state == RequestState::Ended && now - request.endedAt < confirmWait;
        return request.state != RequestState::HandedOver && !awaitsConfirmation;
    });
}

uint32_t RequestSystem::retryAfter()
{
    // Minimum delay plus full jitter, uniform up to twice the expected time to empty the queue at the current limit.
    const double mean = std::max(this->meanLatency(), 1.0);
    const double wait = mean * static_cast<double>(this->queue.size() + 1) / this->limiter.limit();
    const auto drainTime = std::chrono::milliseconds(static_cast<long long>(std::ceil(wait)));
    return static_cast<uint32_t>(toMilliseconds(minimumRetryDelay + this->random.jitter(2 * drainTime)));
}

double RequestSystem::meanLatency() const
{
    return boost::accumulators::count(this->latency) == 0 ? 0 : boost::accumulators::mean(this->latency);
}

double RequestSystem::latencyQuantile99() const
{
    return boost::accumulators::count(this->latency) == 0 ? 0 : boost::accumulators::p_square_quantile(this->latency);
}

} // namespace lavender
