/** @file standin.cpp Functions that all stand-ins use. */
#include "standin_func.h"

#include <glib-unix.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>

namespace standin {

namespace {

    gboolean runOnce(gpointer data)
    {
        const std::unique_ptr<std::function<void()>> function(static_cast<std::function<void()>*>(data));
        (*function)();
        return G_SOURCE_REMOVE;
    }

    gboolean runPeriodic(gpointer data)
    {
        (*static_cast<std::function<void()>*>(data))();
        return G_SOURCE_CONTINUE;
    }

    gboolean quitLoop(gpointer loop)
    {
        g_main_loop_quit(static_cast<GMainLoop*>(loop));
        return G_SOURCE_CONTINUE;
    }

} // namespace

Json readOptions(int argc, char** argv)
{
    Json options = argc == 2 ? Json::parse(argv[1], nullptr, false) : Json();
    if (!options.is_object()) {
        std::cerr << "usage: " << argv[0] << " '{...}': expected one argument, a JSON object with the options\n";
        std::exit(2);
    }
    return options;
}

Json parseObject(const char* text, size_t size)
{
    Json json = Json::parse(text, text + size, nullptr, false);
    return json.is_object() ? json : Json::object();
}

void respondJson(SoupServerMessage* message, unsigned status, const Json& body)
{
    const std::string text = body.dump();
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
}

Json parseRequestBody(SoupServerMessage* message)
{
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    GBytes* bytes = soup_message_body_flatten(body);
    gsize size = 0;
    const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    Json json = parseObject(text, size);
    g_bytes_unref(bytes);
    return json;
}

SoupServer* startServer(uint16_t port)
{
    SoupServer* server = soup_server_new(nullptr, nullptr);
    GSocketAddress* address = g_inet_socket_address_new_from_string("127.0.0.1", port);
    GError* error = nullptr;
    if (soup_server_listen(server, address, static_cast<SoupServerListenOptions>(0), &error) == FALSE) {
        std::cerr << "cannot listen on 127.0.0.1:" << port << ": " << error->message << "\n";
        std::exit(3);
    }
    g_object_unref(address);
    return server;
}

void runAfter(unsigned milliseconds, std::function<void()> function)
{
    g_timeout_add(milliseconds, &runOnce, new std::function<void()>(std::move(function)));
}

void runEvery(unsigned milliseconds, std::function<void()> function)
{
    g_timeout_add(milliseconds, &runPeriodic, new std::function<void()>(std::move(function)));
}

void runUntilSignal(const std::function<void()>& onExit)
{
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    g_unix_signal_add(SIGTERM, &quitLoop, loop);
    g_unix_signal_add(SIGINT, &quitLoop, loop);
    g_main_loop_run(loop);
    onExit();
    g_main_loop_unref(loop);
}

void writeFile(const std::string& path, const std::string& text)
{
    std::ofstream(path, std::ios::binary) << text;
}

} // namespace standin
