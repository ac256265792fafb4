/** @file http_call.h HTTP requests with JSON bodies, and base64; shared by the store clients. */
#pragma once

#include "core/time_type.h"

#include <absl/status/statusor.h>
#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace lavender {

/** Encodes bytes as base64. */
std::string toBase64(std::string_view text);

/** Decodes base64. */
std::string fromBase64(const std::string& text);

/**
 * Creates a session.
 * @param timeout A request fails if its connection is idle this long; rounded up to whole seconds.
 * @return A new reference, to be released with g_object_unref().
 */
SoupSession* makeHttpSession(Duration timeout);

/**
 * Status of a finished request by its HTTP status: OK (200), NotFound (404), OutOfRange (410), FailedPrecondition (412),
 * Unavailable for all others and for @p error.
 * @param error Failure of the connection, or null; freed.
 */
absl::Status httpStatusOf(SoupMessage* message, GError* error);

/** Receives the answer to a request, and the value of the header of the answer that was asked for; empty if there is none. */
using HttpDone = std::function<void(absl::StatusOr<nlohmann::json> answer, std::string_view header)>;

/**
 * Sends one request.
 * @param body JSON body of the request; null for none.
 * @param done Called on the main loop with the JSON object of the answer, which is empty if the answer has no body; Internal if
 * the answer is no JSON object. Called again with Internal if it throws a JSON exception, for example at a field of another type.
 */
void callHttp(SoupSession* session, const char* method, const std::string& url, const nlohmann::json* body, std::function<void(absl::StatusOr<nlohmann::json>)> done);

/** The same, with the value of one header of the answer, whatever its status. @param headerName Must outlive the call. */
void callHttp(SoupSession* session, const char* method, const std::string& url, const nlohmann::json* body, const char* headerName, HttpDone done);

} // namespace lavender
