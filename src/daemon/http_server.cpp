/** @file http_server.cpp HTTP server with libsoup. */
#include "daemon/http_server.h"

#include "daemon/bind_error.h"
#include "daemon/udp_socket.h"

namespace lavender {

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::open(Address address, Handler handler)
{
    std::unique_ptr<HttpServer> result(new HttpServer());
    result->handler = std::move(handler);
    result->server = soup_server_new(nullptr, nullptr);
    soup_server_add_handler(result->server, nullptr, &HttpServer::onRequest, result.get(), nullptr);
    GError* error = nullptr;
    GSocketAddress* local = makeSocketAddress(address);
    const bool isBound = soup_server_listen(result->server, local, static_cast<SoupServerListenOptions>(0), &error) != FALSE;
    g_object_unref(local);
    if (!isBound) {
        return makeBindError("HTTP", address, error);
    }
    return result;
}

HttpServer::~HttpServer()
{
    if (this->server != nullptr) {
        soup_server_disconnect(this->server);
        g_object_unref(this->server);
    }
}

void HttpServer::onRequest(SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* /*query*/, gpointer self)
{
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    const std::string_view text(body->data == nullptr ? "" : body->data, static_cast<size_t>(body->length));
    const HttpReply reply = static_cast<HttpServer*>(self)->handler(soup_server_message_get_method(message), path, text);
    soup_server_message_set_status(message, reply.status, nullptr);
    soup_server_message_set_response(message, reply.contentType.c_str(), SOUP_MEMORY_COPY, reply.body.data(), reply.body.size());
}

} // namespace lavender
