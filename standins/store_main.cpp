/**
 * @file store_main.cpp Stub of the key-value store: range, txn (compare-and-swap), put, lease and watch in etcd's JSON over HTTP.
 * Transactions compare only mod_revision and write only by put; a watch covers one key and reports only puts.
 *
 * Options: {"port": N}.
 * Fault injection: POST /knobs with any of {"latency_ms", "down", "lose_answers", "calls_per_second"}.
 * GET /calls gives the number of calls by path since the start.
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

/** Value of one key. */
struct Entry {
    std::string value; ///< Base64, as in the API.
    uint64_t revision = 0; ///< Revision of the store that last changed this entry.
    uint64_t lease = 0; ///< Lease that removes the entry at its end; 0 for none.
};

/** A lease: entries under it are removed unless it is renewed in time. */
struct Lease {
    uint64_t ttlSeconds = 0; ///< Time to live after each renewal.
    gint64 expiresAt = 0; ///< Monotonic microseconds.
};

/** An open watch. */
struct Watcher {
    SoupServerMessage* message = nullptr; ///< Request whose chunked response carries the events.
    std::string key; ///< Only key that is watched.
};

class StoreStandin {
public:
    explicit StoreStandin(uint16_t port)
    {
        SoupServer* server = standin::startServer(port);
        soup_server_add_handler(server, "/v3/", &StoreStandin::onCall, this, nullptr);
        soup_server_add_handler(server, "/knobs", &StoreStandin::onSetFaults, this, nullptr);
        soup_server_add_handler(server, "/calls", &StoreStandin::onGetCallCounts, this, nullptr);
        standin::runEvery(100, [this] { this->expireLeases(); });
        standin::runEvery(1000, [this] { this->callsThisSecond = 0; });
    }

private:
    static std::string decodeBase64(const std::string& base64)
    {
        gsize size = 0;
        guchar* decoded = g_base64_decode(base64.c_str(), &size);
        std::string text(reinterpret_cast<const char*>(decoded), size);
        g_free(decoded);
        return text;
    }

    static std::string encodeBase64(const std::string& text)
    {
        gchar* encoded = g_base64_encode(reinterpret_cast<const guchar*>(text.data()), text.size());
        std::string result(encoded);
        g_free(encoded);
        return result;
    }

    /** Reads a number that is encoded as a string, as 64-bit integers are in protobuf's JSON mapping. */
    static uint64_t parseNumberField(const Json& json, const char* name)
    {
        const std::string text = json.value(name, "0");
        return std::strtoull(text.c_str(), nullptr, 10);
    }

    Json makeHeader() const { return { { "revision", std::to_string(this->revision) } }; }

    static Json makeKeyValue(const std::string& key, const Entry& entry)
    {
        return { { "key", encodeBase64(key) }, { "value", entry.value }, { "mod_revision", std::to_string(entry.revision) } };
    }

    Json range(const Json& body) const
    {
        const std::string key = decodeBase64(body.value("key", ""));
        const std::string end = decodeBase64(body.value("range_end", ""));
        Json matches = Json::array();
        for (const auto& [name, entry] : this->entries) {
            const bool isMatch = end.empty() ? name == key : name >= key && name < end;
            if (isMatch) {
                matches.push_back(makeKeyValue(name, entry));
            }
        }
        return { { "header", this->makeHeader() }, { "kvs", matches } };
    }

    void put(const Json& body)
    {
        const std::string key = decodeBase64(body.value("key", ""));
        this->entries[key] = { body.value("value", ""), ++this->revision, parseNumberField(body, "lease") };
        this->notifyWatchers(key);
    }

    Json transact(const Json& body)
    {
        bool isMatch = true;
        for (const Json& compare : body.value("compare", Json::array())) {
            const auto found = this->entries.find(decodeBase64(compare.value("key", "")));
            const uint64_t currentRevision = found == this->entries.end() ? 0 : found->second.revision;
            isMatch = isMatch && currentRevision == parseNumberField(compare, "mod_revision");
        }
        for (const Json& operation : body.value(isMatch ? "success" : "failure", Json::array())) {
            if (operation.contains("request_put")) {
                this->put(operation["request_put"]);
            }
        }
        return { { "header", this->makeHeader() }, { "succeeded", isMatch } };
    }

    Json grant(const Json& body)
    {
        const uint64_t id = ++this->lastLeaseId;
        const uint64_t ttlSeconds = parseNumberField(body, "TTL");
        this->leases[id] = { ttlSeconds, g_get_monotonic_time() + static_cast<gint64>(ttlSeconds) * 1'000'000 };
        return { { "ID", std::to_string(id) }, { "TTL", std::to_string(ttlSeconds) } };
    }

    Json renew(const Json& body)
    {
        const uint64_t id = parseNumberField(body, "ID");
        const auto found = this->leases.find(id);
        if (found == this->leases.end()) {
            return { { "result", { { "ID", std::to_string(id) }, { "TTL", "0" } } } };
        }
        found->second.expiresAt = g_get_monotonic_time() + static_cast<gint64>(found->second.ttlSeconds) * 1'000'000;
        return { { "result", { { "ID", std::to_string(id) }, { "TTL", std::to_string(found->second.ttlSeconds) } } } };
    }

    void removeLease(uint64_t id)
    {
        this->leases.erase(id);
        std::erase_if(this->entries, [id](const auto& entry) { return entry.second.lease == id; });
    }

    void expireLeases()
    {
        std::set<uint64_t> expired;
        for (const auto& [id, lease] : this->leases) {
            if (lease.expiresAt <= g_get_monotonic_time()) {
                expired.insert(id);
            }
        }
        for (uint64_t id : expired) {
            this->removeLease(id);
        }
    }

    void notifyWatchers(const std::string& key)
    {
        const Json line {
            { "result",
                {
                    { "header", this->makeHeader() },
                    { "events", Json::array({ { { "kv", makeKeyValue(key, this->entries[key]) } } }) },
                } },
        };
        const std::string text = line.dump() + "\n";
        for (const auto& [message, watcher] : this->watchers) {
            if (watcher.key == key) {
                soup_message_body_append(soup_server_message_get_response_body(message), SOUP_MEMORY_COPY, text.data(), text.size());
                soup_server_message_unpause(message);
            }
        }
    }

    /** Opens a watch: the response stays open, and each put of the key adds a line to it. */
    void openWatch(SoupServerMessage* message, const Json& body)
    {
        const Json request = body.value("create_request", Json::object());
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        soup_message_headers_set_encoding(soup_server_message_get_response_headers(message), SOUP_ENCODING_CHUNKED);
        const std::string text = Json { { "result", { { "header", this->makeHeader() }, { "created", true } } } }.dump() + "\n";
        soup_message_body_append(soup_server_message_get_response_body(message), SOUP_MEMORY_COPY, text.data(), text.size());
        this->watchers[message] = { message, decodeBase64(request.value("key", "")) };
        g_signal_connect(message, "finished", G_CALLBACK(&StoreStandin::onWatchEnd), this);
    }

    static void onWatchEnd(SoupServerMessage* message, gpointer self) { static_cast<StoreStandin*>(self)->watchers.erase(message); }

    /** @return The response; nothing if the path is unknown. */
    std::optional<Json> handleCall(const std::string& path, const Json& body)
    {
        if (path == "/v3/kv/range") {
            return this->range(body);
        }
        if (path == "/v3/kv/txn") {
            return this->transact(body);
        }
        if (path == "/v3/kv/put") {
            this->put(body);
            return Json { { "header", this->makeHeader() } };
        }
        if (path == "/v3/lease/grant") {
            return this->grant(body);
        }
        if (path == "/v3/lease/keepalive") {
            return this->renew(body);
        }
        if (path == "/v3/lease/revoke") {
            this->removeLease(parseNumberField(body, "ID"));
            return Json { { "header", this->makeHeader() } };
        }
        return std::nullopt;
    }

    /** Closes the connection without a response. */
    static void closeConnection(SoupServerMessage* message)
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
        ++self->callCounts[path];
        if (self->isDown) {
            closeConnection(message);
            return;
        }
        if (self->callLimitPerSecond > 0 && ++self->callsThisSecond > self->callLimitPerSecond) {
            standin::respondJson(message, 429, Json::object());
            return;
        }
        const Json body = standin::parseRequestBody(message);
        if (std::string(path) == "/v3/watch") {
            self->openWatch(message, body);
            return;
        }
        const std::optional<Json> answer = self->handleCall(path, body);
        const bool isWrite = std::string(path) == "/v3/kv/txn";
        if (isWrite && self->answersToLose > 0) {
            --self->answersToLose;
            closeConnection(message);
            return;
        }
        standin::respondJson(message, answer ? SOUP_STATUS_OK : SOUP_STATUS_NOT_FOUND, answer.value_or(Json::object()));
        if (self->latencyMilliseconds > 0) {
            soup_server_message_pause(message);
            g_object_ref(message);
            standin::runAfter(self->latencyMilliseconds, [message] {
                soup_server_message_unpause(message);
                g_object_unref(message);
            });
        }
    }

    static void onSetFaults(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
    {
        auto* self = static_cast<StoreStandin*>(data);
        const Json settings = standin::parseRequestBody(message);
        self->latencyMilliseconds = settings.value("latency_ms", self->latencyMilliseconds);
        self->isDown = settings.value("down", self->isDown);
        self->answersToLose = settings.value("lose_answers", self->answersToLose);
        self->callLimitPerSecond = settings.value("calls_per_second", self->callLimitPerSecond);
        if (self->isDown) {
            for (const auto& [watched, watcher] : std::exchange(self->watchers, {})) {
                closeConnection(watched);
            }
        }
        standin::respondJson(message, SOUP_STATUS_OK, Json::object());
    }

    static void onGetCallCounts(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
    {
        standin::respondJson(message, SOUP_STATUS_OK, static_cast<StoreStandin*>(data)->callCounts);
    }

    std::map<std::string, Entry> entries; ///< By key.
    std::map<uint64_t, Lease> leases; ///< By id.
    std::map<SoupServerMessage*, Watcher> watchers; ///< By their request.
    std::map<std::string, uint64_t> callCounts; ///< Number of calls by path.
    uint64_t revision = 1; ///< Revision of the store; each put adds one.
    uint64_t lastLeaseId = 1000; ///< Id of the lease granted last.
    unsigned latencyMilliseconds = 0; ///< Delay of each response; 0 for none.
    bool isDown = false; ///< Close every connection without a response.
    int answersToLose = 0; ///< Number of coming transactions that are run but get no response.
    int callLimitPerSecond = 0; ///< Further calls within a second are refused with status 429; 0 for no limit.
    int callsThisSecond = 0; ///< Counted only while there is a limit.
};

} // namespace

int main(int argc, char** argv)
{
    const Json options = standin::readOptions(argc, argv);
    StoreStandin store(options.value("port", uint16_t { 0 }));
    standin::runUntilSignal([] {});
    return 0;
}
