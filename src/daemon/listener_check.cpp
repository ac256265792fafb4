/** @file listener_check.cpp Non-blocking connect with GIO; a port without a listener refuses at once. */
#include "daemon/listener_check.h"

#include "daemon/udp_socket.h"

#include <utility>

namespace lavender {

namespace {

    bool isRefusal(const GError* error) { return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != FALSE; }

} // namespace

void ListenerCheck::start(Address address, Duration timeout, Done whenDone)
{
    this->close();
    this->done = std::move(whenDone);
    this->socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
    if (this->socket == nullptr) {
        this->finish(false);
        return;
    }
    g_socket_set_blocking(this->socket, FALSE);
    GSocketAddress* target = makeSocketAddress(address);
    GError* error = nullptr;
    const bool isConnected = g_socket_connect(this->socket, target, nullptr, &error) != FALSE;
    g_object_unref(target);
    const bool isPending = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING) != FALSE;
    const bool isRefused = isRefusal(error);
    g_clear_error(&error);
    if (isConnected || !isPending) {
        this->finish(isRefused);
        return;
    }
    this->source = g_socket_create_source(this->socket, static_cast<GIOCondition>(G_IO_OUT | G_IO_ERR | G_IO_HUP), nullptr);
    g_source_set_callback(this->source, reinterpret_cast<GSourceFunc>(reinterpret_cast<void (*)()>(&ListenerCheck::onWritable)), this, nullptr);
    g_source_attach(this->source, nullptr);
    this->timer.startOnce(timeout, [this] { this->finish(false); });
}

gboolean ListenerCheck::onWritable(GSocket* socket, GIOCondition /*condition*/, gpointer self)
{
    GError* error = nullptr;
    (void)g_socket_check_connect_result(socket, &error);
    const bool isRefused = isRefusal(error);
    g_clear_error(&error);
    static_cast<ListenerCheck*>(self)->finish(isRefused);
    return G_SOURCE_REMOVE;
}

void ListenerCheck::finish(bool isRefused)
{
    const Done call = std::exchange(this->done, nullptr);
    this->close();
    if (call) {
        call(isRefused);
    }
}

void ListenerCheck::close()
{
    this->timer.stop();
    if (this->source != nullptr) {
        g_source_destroy(this->source);
        g_source_unref(this->source);
        this->source = nullptr;
    }
    if (this->socket != nullptr) {
        g_object_unref(this->socket);
        this->socket = nullptr;
    }
}

} // namespace lavender
