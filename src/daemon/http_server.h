/** @file http_server.h HTTP server for metrics, readiness and reports, with libsoup on the main loop. */
#pragma once

#include "core/address_type.h"

#include <absl/status/statusor.h>
#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lavender {

/** Response to one HTTP request. */
struct HttpReply {
    unsigned status = 200; ///< HTTP status code.
    std::string body;
    std::string contentType = "application/json";
};

/** Serves HTTP requests on one address; one handler serves all paths. */
class HttpServer {
public:
    /** Called on the main loop for each request; it decides by method and path. */
    using Handler = std::function<HttpReply(std::string_view method, std::string_view path, std::string_view body)>;

    /** Binds @p address and starts to serve. @return The error if the address cannot be bound: see makeBindError(). */
    static absl::StatusOr<std::unique_ptr<HttpServer>> open(Address address, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

private:
    HttpServer() = default;
    static void onRequest(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);

    SoupServer* server = nullptr;
    Handler handler;
};

} // namespace lavender
