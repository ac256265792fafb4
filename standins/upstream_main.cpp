/**
 * @file upstream_main.cpp Stub of an upstream, with slots, cold start, load shedding, draining and cancellation.
 *
 * Options: {"port", "service", "slots", "work_ms", "cold_ms", "record": FILE, "health_lag_ms"}. A cold upstream runs one request at a
 * time; the limit grows to "slots" over cold_ms of having work. A request above the limit gets its connection closed, and makes
 * the upstream cold again.
 *
 * Control: POST /control with any of {"draining", "shed", "cold", "lie_ready"}: refuse all requests with "shed"; report ready
 * while still cold with "lie_ready".
 *
 * On exit it writes counts of what it ran to FILE: {"service", "runs": {"KEY/ATTEMPT": N}, "keys": {KEY: N}, "overloads",
 * "wrong_service", ...}.
 */
#include "core/time_type.h"
#include "replay/caller_model.h"
#include "replay/upstream_model.h"
#include "standin_func.h"

#include <cstdlib>
#include <string>

namespace {

using standin::Json;

class UpstreamStandin {
public:
    explicit UpstreamStandin(const Json& options)
        : service(options.value("service", ""))
        , slots(options.value("slots", uint16_t { 1 }))
        , workMilliseconds(options.value("work_ms", 20U))
        , healthLagMilliseconds(options.value("health_lag_ms", 0U))
        , recordPath(options.value("record", ""))
        , model(slots, std::chrono::milliseconds(options.value("cold_ms", 0)), true)
        , incarnation(static_cast<uint64_t>(g_get_real_time()))
    {
        SoupServer* server = standin::startServer(options.value("port", uint16_t { 0 }));
        soup_server_add_handler(server, nullptr, &UpstreamStandin::onRequest, this, nullptr);
        soup_server_add_handler(server, "/health", &UpstreamStandin::onHealth, this, nullptr);
        soup_server_add_handler(server, "/control", &UpstreamStandin::onControl, this, nullptr);
        this->reportedHealth = this->health();
    }

    void writeRecord() const
    {
        if (this->recordPath.empty()) {
            return;
        }
        const Json json {
            { "service", this->service },
            { "runs", this->model.runs },
            { "keys", this->model.keys },
            { "overloads", this->model.overloads },
            { "wrong_service", this->requestsOfOtherServices },
            { "shed", this->requestsShed },
            { "cancelled", this->requestsCancelled },
            { "highest", this->model.highest },
            { "after_drain", this->requestsAfterDrain },
        };
        standin::writeFile(this->recordPath, json.dump());
    }

private:
    static lavender::TimePoint now() { return lavender::TimePoint(g_get_monotonic_time()); }

    Json health() const
    {
        return {
            { "draining", this->isDraining },
            { "incarnation", this->incarnation },
            { "ready", this->isAlwaysReady || this->model.bears() >= this->slots },
            { "running", this->model.inFlight() },
        };
    }

    static void onHealth(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
    {
        auto* self = static_cast<UpstreamStandin*>(data);
        if (self->healthLagMilliseconds == 0) {
            self->reportedHealth = self->health();
        } else {
            standin::runAfter(self->healthLagMilliseconds, [self, seen = self->health()] { self->reportedHealth = seen; });
        }
        standin::respondJson(message, SOUP_STATUS_OK, self->reportedHealth);
    }

    static void onControl(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
    {
        auto* self = static_cast<UpstreamStandin*>(data);
        const Json control = standin::parseRequestBody(message);
        if (control.value("draining", false) && !self->isDraining) {
            self->drainStart = g_get_monotonic_time();
        }
        self->isDraining = control.value("draining", self->isDraining);
        self->isShedding = control.value("shed", self->isShedding);
        self->isAlwaysReady = control.value("lie_ready", self->isAlwaysReady);
        if (control.value("cold", false)) {
            self->model.becomeCold();
        }
        standin::respondJson(message, SOUP_STATUS_OK, self->health());
    }

    /** Closes the connection without a response, as an overloaded process does. */
    static void closeConnection(SoupServerMessage* message)
    {
        GIOStream* stream = soup_server_message_steal_connection(message);
        if (stream != nullptr) {
            g_io_stream_close(stream, nullptr, nullptr);
            g_object_unref(stream);
        }
    }

    static std::string requestHeader(SoupServerMessage* message, const char* name)
    {
        const char* value = soup_message_headers_get_one(soup_server_message_get_request_headers(message), name);
        return value == nullptr ? "" : value;
    }

    static void onRequest(SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* /*query*/, gpointer data)
    {
        auto* self = static_cast<UpstreamStandin*>(data);
        if (self->isShedding) {
            ++self->requestsShed;
            standin::respondJson(message, SOUP_STATUS_SERVICE_UNAVAILABLE, Json::object());
            return;
        }
        // Agents learn of a drain by polling /health, so requests shortly after its start are expected.
        constexpr gint64 drainGraceMicroseconds = 2'000'000;
        if (self->isDraining && g_get_monotonic_time() - self->drainStart > drainGraceMicroseconds) {
            ++self->requestsAfterDrain;
        }
        const std::string key = requestHeader(message, "Idempotency-Key");
        if (path != "/" + self->service) {
            ++self->requestsOfOtherServices;
        }
        const auto attempt = static_cast<uint32_t>(std::strtoul(requestHeader(message, "Lavender-Attempt").c_str(), nullptr, 10));
        if (!self->model.begin(now(), key, attempt)) {
            closeConnection(message);
            return;
        }
        soup_server_message_pause(message);
        g_object_ref(message);
        g_signal_connect(message, "disconnected", G_CALLBACK(&UpstreamStandin::onDisconnected), self);
        standin::runAfter(self->workMilliseconds, [self, message, key] { self->finish(message, key); });
    }

    static void onDisconnected(SoupServerMessage* message, gpointer data)
    {
        ++static_cast<UpstreamStandin*>(data)->requestsCancelled;
        g_object_set_data(G_OBJECT(message), "gone", data);
    }

    void finish(SoupServerMessage* message, const std::string& key)
    {
        this->model.finish(now());
        g_signal_handlers_disconnect_by_data(message, this);
        if (g_object_get_data(G_OBJECT(message), "gone") == nullptr) {
            GBytes* body = soup_message_body_flatten(soup_server_message_get_request_body(message));
            gsize size = 0;
            const auto* bytes = static_cast<const char*>(g_bytes_get_data(body, &size));
            const std::string text(bytes, size);
            const std::string answer = lavender::expectedAnswer(this->service, key, text);
            g_bytes_unref(body);
            soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
            soup_server_message_set_response(message, "application/octet-stream", SOUP_MEMORY_COPY, answer.data(), answer.size());
            soup_server_message_unpause(message);
        }
        g_object_unref(message);
    }

    std::string service; ///< Name of the service; requests are expected at this path.
    uint16_t slots; ///< Requests that a warm upstream runs at once.
    unsigned workMilliseconds; ///< Time that each request takes.
    unsigned healthLagMilliseconds; ///< The state at one read of /health shows only in reads this much later; 0 for no lag.
    std::string recordPath; ///< File for the counts on exit; none is written if empty.
    lavender::UpstreamModel model;
    uint64_t incarnation; ///< Start time, so that it differs after a restart.
    bool isDraining = false;
    bool isShedding = false; ///< Refuse all requests with status 503.
    bool isAlwaysReady = false; ///< Report ready while still cold.
    gint64 drainStart = 0; ///< Monotonic microseconds at which draining began.
    uint64_t requestsOfOtherServices = 0; ///< Requests for the path of another service.
    uint64_t requestsShed = 0; ///< Requests refused with status 503.
    uint64_t requestsCancelled = 0; ///< Requests whose connection the agent closed before the response.
    uint64_t requestsAfterDrain = 0; ///< Requests that came later than the grace period after the start of a drain.
    Json reportedHealth; ///< State that /health shows.
};

} // namespace

int main(int argc, char** argv)
{
    const UpstreamStandin upstream(standin::readOptions(argc, argv));
    standin::runUntilSignal([&upstream] { upstream.writeRecord(); });
    return 0;
}
