/** @file http_call.cpp Asynchronous requests with libsoup. */
#include "store/http_call.h"

#include "core/json_func.h"
#include "core/text_func.h"

#include <algorithm>
#include <memory>

namespace lavender {

namespace {

    using Json = nlohmann::json;

    constexpr guint connectionsPerHost = 64;

    /** One request in progress; onAnswer() deletes it. */
    struct Call {
        SoupMessage* message;
        const char* headerName; ///< Null if none is wanted.
        HttpDone done;

        static void onAnswer(GObject* source, GAsyncResult* result, gpointer data)
        {
            const std::unique_ptr<Call> call(static_cast<Call*>(data));
            GError* error = nullptr;
            GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
            const absl::Status status = httpStatusOf(call->message, error);
            absl::StatusOr<Json> answer = status.ok() ? absl::InternalError("store: no answer") : status;
            if (status.ok()) {
                gsize size = 0;
                const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
                Json json = size == 0 ? Json::object() : parseJson({ text, size });
                answer = json.is_object() ? absl::StatusOr<Json>(std::move(json)) : absl::InternalError("store: answer is no JSON object");
            }
            if (bytes != nullptr) {
                g_bytes_unref(bytes);
            }
            const char* value = call->headerName == nullptr ? nullptr : soup_message_headers_get_one(soup_message_get_response_headers(call->message), call->headerName);
            const std::string header = value == nullptr ? "" : value;
            g_object_unref(call->message);
            try {
                call->done(std::move(answer), header);
            } catch (const Json::exception& fault) {
                call->done(absl::InternalError(concat("store: ", fault.what())), header);
            }
        }
    };

} // namespace

std::string toBase64(std::string_view text)
{
    gchar* encoded = g_base64_encode(reinterpret_cast<const guchar*>(text.data()), text.size());
    std::string result(encoded);
    g_free(encoded);
    return result;
}

std::string fromBase64(const std::string& text)
{
    gsize size = 0;
    guchar* decoded = g_base64_decode(text.c_str(), &size);
    std::string result(reinterpret_cast<const char*>(decoded), size);
    g_free(decoded);
    return result;
}

SoupSession* makeHttpSession(Duration timeout)
{
    const auto seconds = static_cast<guint>(std::max<long long>((toMilliseconds(timeout) + 999) / 1000, 1));
    return soup_session_new_with_options("timeout", seconds, "max-conns", connectionsPerHost, "max-conns-per-host", connectionsPerHost, "proxy-resolver", nullptr, nullptr);
}

absl::Status httpStatusOf(SoupMessage* message, GError* error)
{
    if (error != nullptr) {
        absl::Status status = absl::UnavailableError(concat("store: ", error->message));
        g_error_free(error);
        return status;
    }
    const int code = static_cast<int>(soup_message_get_status(message));
    switch (code) {
    case SOUP_STATUS_OK:
        return absl::OkStatus();
    case SOUP_STATUS_NOT_FOUND:
        return absl::NotFoundError("store: not found");
    case SOUP_STATUS_GONE:
        return absl::OutOfRangeError("store: this history is gone");
    case SOUP_STATUS_PRECONDITION_FAILED:
        return absl::FailedPreconditionError("store: the condition does not hold");
    default:
        return absl::UnavailableError(concat("store: HTTP ", code));
    }
}

void callHttp(SoupSession* session, const char* method, const std::string& url, const Json* body, const char* headerName, HttpDone done)
{
    SoupMessage* message = soup_message_new(method, url.c_str());
    if (body != nullptr) {
        const std::string text = body->dump();
        GBytes* bytes = g_bytes_new(text.data(), text.size());
        soup_message_set_request_body_from_bytes(message, "application/json", bytes);
        g_bytes_unref(bytes);
    }
    soup_session_send_and_read_async(session, message, G_PRIORITY_DEFAULT, nullptr, &Call::onAnswer, new Call { message, headerName, std::move(done) });
}

void callHttp(SoupSession* session, const char* method, const std::string& url, const Json* body, std::function<void(absl::StatusOr<Json>)> done)
{
    callHttp(session, method, url, body, nullptr, [done = std::move(done)](absl::StatusOr<Json> answer, std::string_view /*header*/) { done(std::move(answer)); });
}

} // namespace lavender
