/**
 * @file upstream_http.cpp HTTP client of the upstream, with libsoup.
 *
 * Each request opens a connection of its own: libsoup silently repeats a request when a kept-alive connection breaks,
 * and the upstream could then run it twice.
 */
#include "daemon/upstream_base.h"

#include "core/json_func.h"
#include "core/text_func.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace lavender {

namespace {

    constexpr guint healthTimeoutSeconds = 2; ///< Not applied: a health check ends only with its connection.
    constexpr int maximumConnections = 2000;

    /** Maps the end of an HTTP exchange to its outcome. @param error Null if a response came. */
    UpstreamOutcome toOutcome(SoupMessage* message, const GError* error)
    {
        if (error != nullptr) {
            return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != FALSE ? UpstreamOutcome::Unreachable : UpstreamOutcome::Failed;
        }
        switch (static_cast<int>(soup_message_get_status(message))) {
        case SOUP_STATUS_OK:
            return UpstreamOutcome::Answered;
        case SOUP_STATUS_SERVICE_UNAVAILABLE:
            return UpstreamOutcome::Shed;
        default:
            return UpstreamOutcome::Failed;
        }
    }

} // namespace

/** A request in progress; deleted when libsoup reports its end, also after a cancellation. */
struct HttpUpstream::Exchange {
    HttpUpstream* upstream;
    SoupMessage* message;
    GCancellable* cancellable;
    UpstreamRequestId id;
    std::function<void(UpstreamResult)> done; ///< Empty after a cancellation.
};

/** A health check in progress. */
struct HttpUpstream::HealthCheck {
    SoupMessage* message;
    std::function<void(UpstreamHealth)> done;
};

HttpUpstream::HttpUpstream(std::string url)
    : url(std::move(url))
    , session(soup_session_new_with_options("max-conns", maximumConnections, "max-conns-per-host", maximumConnections, nullptr))
{
}

HttpUpstream::~HttpUpstream()
{
    soup_session_abort(this->session);
    g_object_unref(this->session);
}

void HttpUpstream::handOver(const StartUpstreamRequest& request, std::function<void(UpstreamResult)> done)
{
    SoupMessage* message = soup_message_new("POST", concat(this->url, "/", request.service).c_str());
    soup_message_add_flags(message, static_cast<SoupMessageFlags>(SOUP_MESSAGE_NEW_CONNECTION | SOUP_MESSAGE_NO_REDIRECT));
    SoupMessageHeaders* headers = soup_message_get_request_headers(message);
    soup_message_headers_replace(headers, "Connection", "close");
    soup_message_headers_replace(headers, "Idempotency-Key", request.key.c_str());
    soup_message_headers_replace(headers, "Lavender-Attempt", std::to_string(request.attempt).c_str());
    soup_message_headers_replace(headers, "Lavender-Deadline-Ms", std::to_string(toMilliseconds(request.remaining)).c_str());
    GBytes* body = g_bytes_new(request.body.data(), request.body.size());
    soup_message_set_request_body_from_bytes(message, "application/octet-stream", body);
    g_bytes_unref(body);
    auto* exchange = new Exchange { this, message, g_cancellable_new(), request.id, std::move(done) };
    this->exchanges[request.id.value] = exchange;
    soup_session_send_and_read_async(this->session, message, G_PRIORITY_DEFAULT, exchange->cancellable, &HttpUpstream::onResponse, exchange);
}

void HttpUpstream::onResponse(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(data));
    GError* error = nullptr;
    GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
    UpstreamResult upstreamResult { .id = exchange->id, .outcome = toOutcome(exchange->message, error) };
    if (upstreamResult.outcome == UpstreamOutcome::Answered) {
        gsize size = 0;
        const auto* answer = static_cast<const uint8_t*>(g_bytes_get_data(bytes, &size));
        upstreamResult.answer.assign(answer, answer + size);
    }
    if (bytes != nullptr) {
        g_bytes_unref(bytes);
    }
    g_clear_error(&error);
    g_object_unref(exchange->message);
    g_object_unref(exchange->cancellable);
    if (exchange->done) {
        exchange->upstream->exchanges.erase(exchange->id.value);
        exchange->done(std::move(upstreamResult));
    }
}

void HttpUpstream::cancel(UpstreamRequestId id)
{
    const auto found = this->exchanges.find(id.value);
    if (found == this->exchanges.end()) {
        return;
    }
    Exchange* exchange = found->second;
    this->exchanges.erase(found);
    exchange->done = nullptr;
    g_cancellable_cancel(exchange->cancellable);
}

void HttpUpstream::checkHealth(std::function<void(UpstreamHealth)> done)
{
    SoupMessage* message = soup_message_new("GET", concat(this->url, "/health").c_str());
    soup_message_headers_replace(soup_message_get_request_headers(message), "Connection", "close");
    soup_session_send_and_read_async(this->session, message, G_PRIORITY_DEFAULT, nullptr, &HttpUpstream::onHealthResponse, new HealthCheck { message, std::move(done) });
}

void HttpUpstream::onHealthResponse(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<HealthCheck> check(static_cast<HealthCheck*>(data));
    GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, nullptr);
    UpstreamHealth health;
    if (bytes != nullptr) {
        gsize size = 0;
        const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
        const nlohmann::json json = parseJson({ text, size });
        health.isReachable = json.is_object();
        if (health.isReachable && json.contains("draining") && json["draining"].is_boolean()) {
            health.isDraining = json["draining"].get<bool>();
        }
        if (health.isReachable && json.contains("incarnation") && json["incarnation"].is_number_unsigned()) {
            health.incarnation = json["incarnation"].get<uint64_t>();
        }
        g_bytes_unref(bytes);
    }
    g_object_unref(check->message);
    check->done(health);
}

} // namespace lavender
