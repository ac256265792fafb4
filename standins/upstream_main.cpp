/**
 * @file upstream_main.cpp Stand-in of an upstream: slots, cold start, shedding, draining, deadlines, cancellation.
 *
 * Options: {"port", "service", "slots", "work_ms", "cold_ms", "record": FILE, "health_lag_ms"}. A cold upstream bears one
 * request and gains its slots over cold_ms in which it has work; given more than it bears, it breaks the exchange and is cold
 * again. Control: POST /control with any of {"draining", "shed", "cold", "lie_ready"}.
 * At its end it writes what it ran: {"service", "runs": {"KEY/ATTEMPT": N}, "keys": {KEY: N}, "overloads", "wrong_service", ...}.
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
        , workTime(options.value("work_ms", 20U))
        , healthLag(options.value("health_lag_ms", 0U))
        , record(options.value("record", ""))
        , model(slots, std::chrono::milliseconds(options.value("cold_ms", 0)), true)
        , incarnation(static_cast<uint64_t>(g_get_real_time()))
    {
        SoupServer* server = standin::serve(options.value("port", uint16_t { 0 }));
        soup_server_add_handler(server, nullptr, &UpstreamStandin::onRequest, this, nullptr);
        soup_server_add_handler(server, "/health", &UpstreamStandin::onHealth, this, nullptr);
        soup_server_add_handler(server, "/control", &UpstreamStandin::onControl, this, nullptr);
        this->shownHealth = this->health();
    }

    void writeRecord() const
    {
        if (this->record.empty()) {
            return;
        }
        const Json json { { "service", this->service }, { "runs", this->model.runs }, { "keys", this->model.keys }, { "overloads", this->model.overloads }, { "wrong_service", this->wrongService }, { "shed", this->sheds }, { "cancelled", this->cancelled }, { "highest", this->model.highest }, { "after_drain", this->afterDrain } };
        standin::writeFile(this->record, json.dump());
    }

private:
    static lavender::TimePoint now() { return lavender::TimePoint(g_get_monotonic_time()); }

    Json health() const
    {
        return { { "draining", this->isDraining }, { "incarnation", this->incarnation }, { "ready", this->isLying || this->model.bears() >= this->slots }, { "running", this->model.inFlight() } };
    }

    static void onHealth(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
    {
        auto* self = static_cast<UpstreamStandin*>(data);
        if (self->healthLag == 0) {
            self->shownHealth = self->health();
        } else {
            standin::after(self->healthLag, [self, seen = self->health()] { self->shownHealth = seen; });
        }
        standin::answerJson(message, SOUP_STATUS_OK, self->shownHealth);
    }

    static void onControl(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
    {
        auto* self = static_cast<UpstreamStandin*>(data);
        const Json knobs = standin::bodyOf(message);
        if (knobs.value("draining", false) && !self->isDraining) {
            self->drainedAt = g_get_monotonic_time();
        }
        self->isDraining = knobs.value("draining", self->isDraining);
        self->isShedding = knobs.value("shed", self->isShedding);
        self->isLying = knobs.value("lie_ready", self->isLying);
        if (knobs.value("cold", false)) {
            self->model.becomeCold();
        }
        standin::answerJson(message, SOUP_STATUS_OK, self->health());
    }

    /** Breaks the exchange, as a process that is overrun does. */
    static void breakExchange(SoupServerMessage* message)
    {
        GIOStream* stream = soup_server_message_steal_connection(message);
        if (stream != nullptr) {
            g_io_stream_close(stream, nullptr, nullptr);
            g_object_unref(stream);
        }
    }

    static std::string headerOf(SoupServerMessage* message, const char* name)
    {
        const char* value = soup_message_headers_get_one(soup_server_message_get_request_headers(message), name);
        return value == nullptr ? "" : value;
    }

    static void onRequest(SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* /*query*/, gpointer data)
    {
        auto* self = static_cast<UpstreamStandin*>(data);
        if (self->isShedding) {
            ++self->sheds;
            standin::answerJson(message, SOUP_STATUS_SERVICE_UNAVAILABLE, Json::object());
            return;
        }
        constexpr gint64 drainGraceMicroseconds = 2'000'000;
        if (self->isDraining && g_get_monotonic_time() - self->drainedAt > drainGraceMicroseconds) {
            ++self->afterDrain;
        }
        const std::string key = headerOf(message, "Idempotency-Key");
        if (path != "/" + self->service) {
            ++self->wrongService;
        }
        const auto attempt = static_cast<uint32_t>(std::strtoul(headerOf(message, "Lavender-Attempt").c_str(), nullptr, 10));
        if (!self->model.begin(now(), key, attempt)) {
            breakExchange(message);
            return;
        }
        soup_server_message_pause(message);
        g_object_ref(message);
        g_signal_connect(message, "disconnected", G_CALLBACK(&UpstreamStandin::onDisconnected), self);
        standin::after(self->workTime, [self, message, key] { self->finish(message, key); });
    }

    static void onDisconnected(SoupServerMessage* message, gpointer data)
    {
        ++static_cast<UpstreamStandin*>(data)->cancelled;
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

    std::string service;
    uint16_t slots;
    unsigned workTime; ///< Milliseconds of each request.
    unsigned healthLag;
    std::string record;
    lavender::UpstreamModel model;
    uint64_t incarnation;
    bool isDraining = false;
    bool isShedding = false;
    bool isLying = false;
    gint64 drainedAt = 0;
    uint64_t wrongService = 0;
    uint64_t sheds = 0;
    uint64_t cancelled = 0;
    uint64_t afterDrain = 0;
    Json shownHealth;
};

} // namespace

int main(int argc, char** argv)
{
    const UpstreamStandin upstream(standin::readOptions(argc, argv));
    standin::runUntilSignal([&upstream] { upstream.writeRecord(); });
    return 0;
}
