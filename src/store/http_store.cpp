/** @file http_store.cpp Each call is a POST of one JSON object; the answer to a watch is an endless stream of JSON objects, one per line. */
#include "store/http_store.h"

#include "core/json_func.h"
#include "core/text_func.h"
#include "store/http_call.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace lavender {

namespace {

    using Json = nlohmann::json;

    constexpr Duration watchTimeout = 300s; ///< A watch that receives nothing for this long ends, and is opened again by its user.

    /** Reads a 64-bit number: the gateway writes them as strings and omits zeros. */
    uint64_t numberAt(const Json& json, const char* name)
    {
        const auto found = json.find(name);
        uint64_t number = 0;
        if (found == json.end()) {
            return 0;
        }
        if (found->is_string()) {
            return parseNumber(found->get_ref<const std::string&>(), number) ? number : 0;
        }
        return found->is_number_unsigned() ? found->get<uint64_t>() : 0;
    }

    StoreValue toStoreValue(const Json& entry)
    {
        return { fromBase64(entry.value("key", "")), fromBase64(entry.value("value", "")), { .number = numberAt(entry, "mod_revision") } };
    }

    /** The smallest key that is greater than all keys with the prefix; the end of a range is exclusive. */
    std::string prefixEnd(std::string prefix)
    {
        ++prefix.back();
        return prefix;
    }

    SoupMessage* makePost(const std::string& url, const Json& body)
    {
        SoupMessage* message = soup_message_new("POST", url.c_str());
        const std::string text = body.dump();
        GBytes* bytes = g_bytes_new(text.data(), text.size());
        soup_message_set_request_body_from_bytes(message, "application/json", bytes);
        g_bytes_unref(bytes);
        return message;
    }

    /** One watch; deletes itself when it ends. */
    struct Watch {
        SoupMessage* message;
        std::function<void(StoreValue)> changed;
        std::function<void(absl::Status)> ended;
        GDataInputStream* lines = nullptr; ///< Body of the answer; null until the watch is open.

        void end(const absl::Status& status)
        {
            const std::unique_ptr<Watch> self(this);
            if (self->lines != nullptr) {
                g_object_unref(self->lines);
            }
            g_object_unref(self->message);
            self->ended(status);
        }

        void readLine()
        {
            g_data_input_stream_read_line_async(this->lines, G_PRIORITY_DEFAULT, nullptr, &Watch::onLine, this);
        }

        /** Reports the changes in one line of the answer. */
        void reportChanges(const char* text)
        {
            const Json json = parseJson(text);
            if (!json.is_object() || !json.contains("result")) {
                return;
            }
            const Json& result = json["result"];
            if (!result.contains("events")) {
                return;
            }
            for (const Json& event : result["events"]) {
                if (event.contains("kv")) {
                    this->changed(toStoreValue(event["kv"]));
                }
            }
        }

        static void onLine(GObject* source, GAsyncResult* result, gpointer data)
        {
            auto* watch = static_cast<Watch*>(data);
            GError* error = nullptr;
            gchar* line = g_data_input_stream_read_line_finish(G_DATA_INPUT_STREAM(source), result, nullptr, &error);
            if (line == nullptr) {
                watch->end(error == nullptr ? absl::UnavailableError("store: watch closed") : httpStatusOf(watch->message, error));
                return;
            }
            try {
                watch->reportChanges(line);
            } catch (const Json::exception&) {
                // A malformed line is skipped; periodic reads of the key get the value anyway.
            }
            g_free(line);
            watch->readLine();
        }

        static void onOpen(GObject* source, GAsyncResult* result, gpointer data)
        {
            auto* watch = static_cast<Watch*>(data);
            GError* error = nullptr;
            GInputStream* stream = soup_session_send_finish(SOUP_SESSION(source), result, &error);
            const absl::Status status = httpStatusOf(watch->message, error);
            if (stream == nullptr || !status.ok()) {
                if (stream != nullptr) {
                    g_object_unref(stream);
                }
                watch->end(status);
                return;
            }
            watch->lines = g_data_input_stream_new(stream);
            g_object_unref(stream);
            watch->readLine();
        }
    };

} // namespace

HttpStore::HttpStore(std::string url, Duration timeout)
    : url(std::move(url))
    , session(makeHttpSession(timeout))
    , watchSession(makeHttpSession(watchTimeout))
{
}

HttpStore::~HttpStore()
{
    soup_session_abort(this->session);
    soup_session_abort(this->watchSession);
    g_object_unref(this->session);
    g_object_unref(this->watchSession);
}

void HttpStore::read(std::string_view key, Done<std::optional<StoreValue>> done)
{
    const Json body { { "key", toBase64(key) } };
    callHttp(this->session, "POST", this->url + "/v3/kv/range", &body, [done = std::move(done)](absl::StatusOr<Json> answer) {
        if (!answer.ok()) {
            done(answer.status());
            return;
        }
        const auto entries = answer->find("kvs");
        if (entries == answer->end() || entries->empty()) {
            done(std::optional<StoreValue>());
            return;
        }
        done(std::optional(toStoreValue(entries->front())));
    });
}

void HttpStore::list(std::string_view prefix, Done<std::vector<StoreValue>> done)
{
    const Json body { { "key", toBase64(prefix) }, { "range_end", toBase64(prefixEnd(std::string(prefix))) } };
    callHttp(this->session, "POST", this->url + "/v3/kv/range", &body, [done = std::move(done)](absl::StatusOr<Json> answer) {
        if (!answer.ok()) {
            done(answer.status());
            return;
        }
        std::vector<StoreValue> values;
        if (const auto entries = answer->find("kvs"); entries != answer->end()) {
            for (const Json& entry : *entries) {
                values.push_back(toStoreValue(entry));
            }
        }
        done(std::move(values));
    });
}

void HttpStore::compareAndSwap(std::string_view key, const StorePosition& expected, std::string_view value, Done<SwapResult> done)
{
    const Json compare { { "key", toBase64(key) }, { "target", "MOD" }, { "result", "EQUAL" }, { "mod_revision", std::to_string(expected.number) } };
    const Json put { { "request_put", { { "key", toBase64(key) }, { "value", toBase64(value) } } } };
    const Json body { { "compare", Json::array({ compare }) }, { "success", Json::array({ put }) } };
    callHttp(this->session, "POST", this->url + "/v3/kv/txn", &body, [done = std::move(done)](absl::StatusOr<Json> answer) {
        if (!answer.ok()) {
            done(answer.status());
            return;
        }
        done(SwapResult { answer->value("succeeded", false), { .number = numberAt(answer->value("header", Json::object()), "revision") } });
    });
}

void HttpStore::putWithLease(std::string_view key, std::string_view value, const StoreLease& lease, Done<SwapResult> done)
{
    const Json body { { "key", toBase64(key) }, { "value", toBase64(value) }, { "lease", std::to_string(lease.id) } };
    callHttp(this->session, "POST", this->url + "/v3/kv/put", &body, [done = std::move(done)](absl::StatusOr<Json> answer) {
        if (!answer.ok()) {
            done(answer.status());
            return;
        }
        done(SwapResult { true, { .number = numberAt(answer->value("header", Json::object()), "revision") } });
    });
}

namespace {

    /** Makes a call about a lease; @p done gets the lease, or NotFound if it has expired. */
    void callLease(SoupSession* session, const std::string& url, const Json& body, Store::Done<StoreLease> done)
    {
        callHttp(session, "POST", url, &body, [done = std::move(done)](absl::StatusOr<Json> answer) {
            if (!answer.ok()) {
                done(answer.status());
                return;
            }
            const Json& result = answer->contains("result") ? (*answer)["result"] : *answer;
            // etcd answers the renewal of an expired lease with TTL 0.
            if (result.contains("TTL") && numberAt(result, "TTL") == 0) {
                done(absl::NotFoundError("store: the lease has lapsed"));
                return;
            }
            done(StoreLease { .id = numberAt(result, "ID") });
        });
    }

} // namespace

void HttpStore::grantLease(uint32_t seconds, Done<StoreLease> done)
{
    callLease(this->session, this->url + "/v3/lease/grant", { { "TTL", std::to_string(seconds) } }, std::move(done));
}

void HttpStore::renewLease(const StoreLease& lease, Done<StoreLease> done)
{
    callLease(this->session, this->url + "/v3/lease/keepalive", { { "ID", std::to_string(lease.id) } }, std::move(done));
}

void HttpStore::revokeLease(const StoreLease& lease, Done<StoreLease> done)
{
    callLease(this->session, this->url + "/v3/lease/revoke", { { "ID", std::to_string(lease.id) } }, std::move(done));
}

void HttpStore::watch(std::string_view key, std::function<void(StoreValue)> changed, std::function<void(absl::Status)> ended)
{
    const Json body { { "create_request", { { "key", toBase64(key) } } } };
    SoupMessage* message = makePost(this->url + "/v3/watch", body);
    auto* watch = new Watch { message, std::move(changed), std::move(ended) };
    soup_session_send_async(this->watchSession, message, G_PRIORITY_DEFAULT, nullptr, &Watch::onOpen, watch);
}

} // namespace lavender
