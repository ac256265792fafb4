/**
 * @file store_main.cpp Stand-in of the platform store: range, txn, put, lease, watch over HTTP and JSON.
 *
 * Options: {"port": N}. Knobs: POST /knobs with any of {"latency_ms", "down", "lose_answers", "calls_per_second"};
 * GET /calls tells how many calls of each kind came.
 */
#include "standin_func.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace {

using standin::Json;

struct Entry {
    std::string value; ///< Base64, as it travels.
    uint64_t revision = 0;
    uint64_t lease = 0;
};

struct Lease {
    uint64_t seconds = 0;
    gint64 expires = 0; ///< Monotonic microseconds.
};

struct Watcher {
    SoupServerMessage* message = nullptr;
    std::string key;
};

class StoreStandin {
public:
    explicit StoreStandin(uint16_t port)
    {
        SoupServer* server = standin::serve(port);
        soup_server_add_handler(server, "/v3/", &StoreStandin::onCall, this, nullptr);
        soup_server_add_handler(server, "/knobs", &StoreStandin::onKnobs, this, nullptr);
        soup_server_add_handler(server, "/calls", &StoreStandin::onCalls, this, nullptr);
        standin::every(100, [this] { this->expireLeases(); });
        standin::every(1000, [this] { this->callsThisSecond = 0; });
    }

private:
    static std::string textOf(const std::string& base64)
    {
        gsize size = 0;
        guchar* decoded = g_base64_decode(base64.c_str(), &size);
        std::string text(reinterpret_cast<const char*>(decoded), size);
        g_free(decoded);
        return text;
    }

    static std::string base64Of(const std::string& text)
    {
        gchar* encoded = g_base64_encode(reinterpret_cast<const guchar*>(text.data()), text.size());
        std::string result(encoded);
        g_free(encoded);
        return result;
    }

    static uint64_t numberOf(const Json& json, const char* name)
    {
        const std::string text = json.value(name, "0");
        return std::strtoull(text.c_str(), nullptr, 10);
    }

    Json header() const { return { { "revision", std::to_string(this->revision) } }; }

    static Json jsonOf(const std::string& key, const Entry& entry)
    {
        return { { "key", base64Of(key) }, { "value", entry.value }, { "mod_revision", std::to_string(entry.revision) } };
    }

    Json range(const Json& body) const
    {
        const std::string key = textOf(body.value("key", ""));
        const std::string end = textOf(body.value("range_end", ""));
        Json values = Json::array();
        for (const auto& [name, entry] : this->entries) {
            const bool isMatch = end.empty() ? name == key : name >= key && name < end;
            if (isMatch) {
                values.push_back(jsonOf(name, entry));
            }
        }
        return { { "header", this->header() }, { "kvs", values } };
    }

    void put(const Json& body)
    {
        const std::string key = textOf(body.value("key", ""));
        this->entries[key] = { body.value("value", ""), ++this->revision, numberOf(body, "lease") };
        this->notify(key);
    }

    Json transact(const Json& body)
    {
        bool isMatch = true;
        for (const Json& compare : body.value("compare", Json::array())) {
            const auto found = this->entries.find(textOf(compare.value("key", "")));
            const uint64_t present = found == this->entries.end() ? 0 : found->second.revision;
            isMatch = isMatch && present == numberOf(compare, "mod_revision");
        }
        for (const Json& operation : body.value(isMatch ? "success" : "failure", Json::array())) {
            if (operation.contains("request_put")) {
                this->put(operation["request_put"]);
            }
        }
        return { { "header", this->header() }, { "succeeded", isMatch } };
    }

    Json grant(const Json& body)
    {
        const uint64_t id = ++this->nextLease;
        const uint64_t seconds = numberOf(body, "TTL");
        this->leases[id] = { seconds, g_get_monotonic_time() + static_cast<gint64>(seconds) * 1'000'000 };
        return { { "ID", std::to_string(id) }, { "TTL", std::to_string(seconds) } };
    }

    Json renew(const Json& body)
    {
        const uint64_t id = numberOf(body, "ID");
        const auto found = this->leases.find(id);
        if (found == this->leases.end()) {
            return { { "result", { { "ID", std::to_string(id) }, { "TTL", "0" } } } };
        }
        found->second.expires = g_get_monotonic_time() + static_cast<gint64>(found->second.seconds) * 1'000'000;
        return { { "result", { { "ID", std::to_string(id) }, { "TTL", std::to_string(found->second.seconds) } } } };
    }

    void dropLease(uint64_t id)
    {
        this->leases.erase(id);
        std::erase_if(this->entries, [id](const auto& entry) { return entry.second.lease == id; });
    }

    void expireLeases()
    {
        std::set<uint64_t> lapsed;
        for (const auto& [id, lease] : this->leases) {
            if (lease.expires <= g_get_monotonic_time()) {
                lapsed.insert(id);
            }
        }
        for (uint64_t id : lapsed) {
            this->dropLease(id);
        }
    }

    void notify(const std::string& key)
    {
        const Json line { { "result", { { "header", this->header() }, { "events", Json::array({ { { "kv", jsonOf(key, this->entries[key]) } } }) } } } };
        const std::string text = line.dump() + "\n";
        for (const auto& [message, watcher] : this->watchers) {
            if (watcher.key == key) {
                soup_message_body_append(soup_server_message_get_response_body(message), SOUP_MEMORY_COPY, text.data(), text.size());
                soup_server_message_unpause(message);
            }
        }
    }

    void openWatch(SoupServerMessage* message, const Json& body)
    {
        const Json request = body.value("create_request", Json::object());
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        soup_message_headers_set_encoding(soup_server_message_get_response_headers(message), SOUP_ENCODING_CHUNKED);
        const std::string text = Json { { "result", { { "header", this->header() }, { "created", true } } } }.dump() + "\n";
        soup_message_body_append(soup_server_message_get_response_body(message), SOUP_MEMORY_COPY, text.data(), text.size());
        this->watchers[message] = { message, textOf(request.value("key", "")) };
        g_signal_connect(message, "finished", G_CALLBACK(&StoreStandin::onWatchEnd), this);
    }

    static void onWatchEnd(SoupServerMessage* message, gpointer self) { static_cast<StoreStandin*>(self)->watchers.erase(message); }

    std::optional<Json> perform(const std::string& path, const Json& body)
    {
        if (path == "/v3/kv/range") {
            return this->range(body);
        }
        if (path == "/v3/kv/txn") {
            return this->transact(body);
        }
        if (path == "/v3/kv/put") {
            this->put(body);
            return Json { { "header", this->header() } };
        }
        if (path == "/v3/lease/grant") {
            return this->grant(body);
        }
        if (path == "/v3/lease/keepalive") {
            return this->renew(body);
        }
        if (path == "/v3/lease/revoke") {
            this->dropLease(numberOf(body, "ID"));
            return Json { { "header", this->header() } };
        }
        return std::nullopt;
    }

    /** Ends the connection without an answer. */
    static void cut(SoupServerMessage* message)
    {
        GIOStream* stream = soup_server_message_steal_connection(message);
        if (stream != nullptr) {
            g_io_stream_close(stream, nullptr, nullptr);
            g_object_unref(stream);
        }
    }

    static void onCall(SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* /*query*/, gpointer data)
    {
        auto* self = static_cast<StoreStandin*>(data);
        ++self->calls[path];
        if (self->isDown) {
            cut(message);
            return;
        }
        if (self->callsPerSecond > 0 && ++self->callsThisSecond > self->callsPerSecond) {
            standin::answerJson(message, 429, Json::object());
            return;
        }
        const Json body = standin::bodyOf(message);
        if (std::string(path) == "/v3/watch") {
            self->openWatch(message, body);
            return;
        }
        const std::optional<Json> answer = self->perform(path, body);
        const bool isWrite = std::string(path) == "/v3/kv/txn";
        if (isWrite && self->loseAnswers > 0) {
            --self->loseAnswers;
            cut(message);
            return;
        }
        standin::answerJson(message, answer ? SOUP_STATUS_OK : SOUP_STATUS_NOT_FOUND, answer.value_or(Json::object()));
        if (self->latency > 0) {
            soup_server_message_pause(message);
            g_object_ref(message);
            standin::after(self->latency, [message] {
                soup_server_message_unpause(message);
                g_object_unref(message);
            });
        }
    }

    static void onKnobs(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
    {
        auto* self = static_cast<StoreStandin*>(data);
        const Json knobs = standin::bodyOf(message);
        self->latency = knobs.value("latency_ms", self->latency);
        self->isDown = knobs.value("down", self->isDown);
        self->loseAnswers = knobs.value("lose_answers", self->loseAnswers);
        self->callsPerSecond = knobs.value("calls_per_second", self->callsPerSecond);
        if (self->isDown) {
            for (const auto& [watched, watcher] : std::exchange(self->watchers, {})) {
                cut(watched);
            }
        }
        standin::answerJson(message, SOUP_STATUS_OK, Json::object());
    }

    static void onCalls(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
    {
        standin::answerJson(message, SOUP_STATUS_OK, static_cast<StoreStandin*>(data)->calls);
    }

    std::map<std::string, Entry> entries;
    std::map<uint64_t, Lease> leases;
    std::map<SoupServerMessage*, Watcher> watchers;
    std::map<std::string, uint64_t> calls;
    uint64_t revision = 1;
    uint64_t nextLease = 1000;
    unsigned latency = 0;
    bool isDown = false;
    int loseAnswers = 0;
    int callsPerSecond = 0;
    int callsThisSecond = 0;
};

} // namespace

int main(int argc, char** argv)
{
    const Json options = standin::readOptions(argc, argv);
    StoreStandin store(options.value("port", uint16_t { 0 }));
    standin::runUntilSignal([] {});
    return 0;
}
