/** @file request.cpp A request is handed over once at the most; every end has a verdict. */
#include "agent/request_base.h"

#include "wire/codec_func.h"

#include <algorithm>
#include <cmath>

namespace lavender {

namespace {

    constexpr Duration answerKeepTime = 30s; ///< An answer that its caller never confirmed.
    constexpr Duration confirmTime = 3s; ///< A flow may move with an unconfirmed answer of this age.
    constexpr Duration keyKeepTime = 10min;
    constexpr size_t queuePerSlot = 8; ///< Requests that wait, for each slot.
    constexpr Duration retryFloor = 50ms;
    constexpr Duration maximumDeadline = 10min;

    FlowPacket packetToCaller(const FlowKey& flow, const Exchange& exchange)
    {
        return { .flow = flow, .mark = PacketMark::Middle, .isToCaller = true, .payload = encodeExchange(exchange) };
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
    Request* request = flow.find(part.request);
    if (request == nullptr) {
        if (flow.finished.contains(part.request)) {
            this->counters.add(Counter::RequestsRepeated);
            return;
        }
        if (!this->isStarting) {
            return; // The flow is about to move; its next owner gets the caller's repetition.
        }
        Request fresh { .id = part.request, .attempt = part.attempt, .isRepeatable = part.isRepeatable, .key = part.key };
        fresh.deadline = now + std::min<Duration>(std::chrono::milliseconds(part.remaining), maximumDeadline);
        fresh.parts.resize(part.parts);
        fresh.received.resize(part.parts);
        const auto place = std::lower_bound(flow.requests.begin(), flow.requests.end(), part.request, [](const Request& entry, uint64_t id) { return entry.id < id; });
        request = &*flow.requests.insert(place, std::move(fresh));
    }
    if (request->state == RequestState::Ended) {
        this->counters.add(Counter::RequestsRepeated);
        this->sendAnswer(flow, *request, {}, actions);
        return;
    }
    if (request->state != RequestState::Collecting || part.parts != request->parts.size() || request->received[part.part]) {
        this->counters.add(Counter::RequestsRepeated);
        return;
    }
    request->parts[part.part] = part.body;
    request->received[part.part] = true;
    if (std::all_of(request->received.begin(), request->received.end(), [](bool isThere) { return isThere; })) {
        this->admit(now, flow, *request, actions);
    }
}

void RequestSystem::admit(TimePoint now, Flow& flow, Request& request, Actions& actions)
{
    const auto known = this->keys.find(request.key);
    if (!request.key.empty() && !request.isRepeatable && known != this->keys.end() && known->second.mayHaveRun) {
        this->end(now, flow, request, Verdict::MayHaveRun, VerdictReason::Cancelled, actions);
        return;
    }
    if (now >= request.deadline) {
        this->end(now, flow, request, Verdict::NotRun, VerdictReason::DeadlineExpired, actions);
        return;
    }
    if (this->inFlight() < this->limiter.limit() && this->queue.empty()) {
        this->start(now, flow, request, actions);
        return;
    }
    if (this->queue.size() >= queuePerSlot * this->limiter.maximum()) {
        this->end(now, flow, request, Verdict::NotRun, VerdictReason::QueueFull, actions);
        return;
    }
    request.state = RequestState::Queued;
    this->queue.emplace(request.deadline, RequestRef { flow.key, request.id });
}

void RequestSystem::start(TimePoint now, Flow& flow, Request& request, Actions& actions)
{
    HandOver action { .id = HandOverId { this->nextHandOver++ }, .service = this->service, .key = request.key, .attempt = request.attempt, .remaining = request.deadline - now };
    for (Bytes& part : request.parts) {
        action.body.insert(action.body.end(), part.begin(), part.end());
        Bytes().swap(part);
    }
    request.state = RequestState::HandedOver;
    request.handOver = action.id;
    request.handedOverAt = now;
    this->running[action.id.value] = { flow.key, request.id };
    this->limiter.onStarted(now, this->inFlight());
    if (!request.key.empty() && !request.isRepeatable) {
        this->keys[request.key] = { .mayHaveRun = true, .expires = now + keyKeepTime };
        this->keyExpiry.emplace(now + keyKeepTime, request.key);
    }
    this->counters.add(Counter::RequestsHandedOver);
    actions.push_back(std::move(action));
}

void RequestSystem::end(TimePoint now, Flow& flow, Request& request, Verdict verdict, VerdictReason reason, Actions& actions)
{
    if (request.state == RequestState::HandedOver) {
        this->running.erase(request.handOver.value);
    }
    request.state = RequestState::Ended;
    request.verdict = verdict;
    request.reason = reason;
    request.endedAt = now;
    request.retryAfter = verdict == Verdict::NotRun ? this->retryAfter() : 0;
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
        AnswerPart message { .request = request.id, .attempt = request.attempt, .part = part, .parts = count, .verdict = request.verdict, .reason = request.reason, .retryAfter = request.retryAfter };
        const size_t from = part * maximumPartBytes;
        const size_t length = std::min(maximumPartBytes, request.answer.size() - from);
        const auto begin = request.answer.begin() + static_cast<std::ptrdiff_t>(from);
        message.body.assign(begin, begin + static_cast<std::ptrdiff_t>(length));
        actions.push_back(SendToCaller { packetToCaller(flow.key, message) });
    }
}

void RequestSystem::onAsk(TimePoint /*now*/, Flow& flow, const AnswerAsk& ask, Actions& actions)
{
    Request* request = flow.find(ask.request);
    if (request == nullptr || request->state != RequestState::Ended) {
        return;
    }
    if (!ask.missing.empty()) {
        this->sendAnswer(flow, *request, ask.missing, actions);
        return;
    }
    flow.finished.add(ask.request);
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
        this->end(now, *flow, *request, Verdict::Answered, VerdictReason::None, actions);
    } else {
        this->counters.add(Counter::UpstreamFailures);
        // A shed says that the upstream lives. A broken or refused exchange is what a restart looks like from here: it may be cold.
        result.outcome == UpstreamOutcome::Shed ? this->limiter.onShed(now) : this->limiter.onColdStart();
        const bool neverHadIt = result.outcome == UpstreamOutcome::Unreachable;
        if (neverHadIt) {
            this->keys.erase(request->key);
        }
        const VerdictReason reason = result.outcome == UpstreamOutcome::Shed ? VerdictReason::UpstreamShed : VerdictReason::UpstreamFailed;
        this->end(now, *flow, *request, neverHadIt ? Verdict::NotRun : Verdict::MayHaveRun, reason, actions);
    }
    this->startQueued(now, actions);
}

void RequestSystem::startQueued(TimePoint now, Actions& actions)
{
    while (this->isStarting && !this->queue.empty() && this->inFlight() < this->limiter.limit()) {
        const RequestRef ref = this->queue.begin()->second;
        this->queue.erase(this->queue.begin());
        Flow* flow = nullptr;
        Request* request = this->resolve(ref, &flow);
        if (request == nullptr || request->state != RequestState::Queued) {
            continue;
        }
        if (now >= request->deadline) {
            this->end(now, *flow, *request, Verdict::NotRun, VerdictReason::DeadlineExpired, actions);
            continue;
        }
        this->start(now, *flow, *request, actions);
    }
}

void RequestSystem::expire(TimePoint now, Actions& actions)
{
    while (!this->queue.empty() && this->queue.begin()->first <= now) {
        const RequestRef ref = this->queue.begin()->second;
        this->queue.erase(this->queue.begin());
        Flow* flow = nullptr;
        Request* request = this->resolve(ref, &flow);
        if (request != nullptr && request->state == RequestState::Queued) {
            this->end(now, *flow, *request, Verdict::NotRun, VerdictReason::DeadlineExpired, actions);
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
        actions.push_back(CancelHandOver { request->handOver });
        this->end(now, *flow, *request, Verdict::MayHaveRun, VerdictReason::DeadlineExpired, actions);
    }
}

void RequestSystem::forgetAnswers(TimePoint now)
{
    while (!this->ended.empty() && now - this->ended.begin()->first >= answerKeepTime) {
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
    this->expire(now, actions);
    this->forgetAnswers(now);
    this->startQueued(now, actions);
}

std::vector<uint64_t> RequestSystem::endFlow(TimePoint now, Flow& flow, VerdictReason reason, Actions& actions)
{
    std::vector<uint64_t> mayHaveRun;
    for (Request& request : flow.requests) {
        if (request.state == RequestState::HandedOver) {
            mayHaveRun.push_back(request.id);
            actions.push_back(CancelHandOver { request.handOver });
            this->end(now, flow, request, Verdict::MayHaveRun, reason, actions);
        } else if (request.state != RequestState::Ended) {
            this->end(now, flow, request, Verdict::NotRun, reason, actions);
        }
    }
    return mayHaveRun;
}

void RequestSystem::dropUnstarted(TimePoint now, Flow& flow)
{
    std::erase_if(flow.requests, [&](const Request& request) {
        if (request.state == RequestState::Ended && now - request.endedAt >= confirmTime) {
            flow.finished.add(request.id);
            return true;
        }
        return request.state == RequestState::Collecting || request.state == RequestState::Queued;
    });
}

bool RequestSystem::isIdle(TimePoint now, const Flow& flow) const
{
    return std::all_of(flow.requests.begin(), flow.requests.end(), [now](const Request& request) {
        const bool isKept = request.state == RequestState::Ended && now - request.endedAt < confirmTime;
        return request.state != RequestState::HandedOver && !isKept;
    });
}

uint32_t RequestSystem::retryAfter()
{
    // Time until the queue has run down at the learned limit, with full jitter above a floor.
    const double mean = std::max(this->meanLatency(), 1.0);
    const double wait = mean * static_cast<double>(this->queue.size() + 1) / this->limiter.limit();
    const auto span = std::chrono::milliseconds(static_cast<long long>(std::ceil(wait)));
    return static_cast<uint32_t>(toMilliseconds(retryFloor + this->random.jitter(2 * span)));
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
