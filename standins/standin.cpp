/** @file standin.cpp Shared parts of the stand-ins. */
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

    gboolean runAgain(gpointer data)
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
        std::cerr << "usage: " << argv[0] << " '{...}': expected one JSON object with the options\n";
        std::exit(2);
    }
    return options;
}

Json parseObject(const char* text, size_t size)
{
    Json json = Json::parse(text, text + size, nullptr, false);
    return json.is_object() ? json : Json::object();
}

void answerJson(SoupServerMessage* message, unsigned status, const Json& body)
{
    const std::string text = body.dump();
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
}

Json bodyOf(SoupServerMessage* message)
{
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    GBytes* bytes = soup_message_body_flatten(body);
    gsize size = 0;
    const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    Json json = parseObject(text, size);
    g_bytes_unref(bytes);
    return json;
}

SoupServer* serve(uint16_t port)
{
    SoupServer* server = soup_server_new(nullptr, nullptr);
    GSocketAddress* address = g_inet_socket_address_new_from_string("127.0.0.1", port);
    GError* error = nullptr;
    if (soup_server_listen(server, address, static_cast<SoupServerListenOptions>(0), &error) == FALSE) {
        std::cerr << "port " << port << ": " << error->message << "\n";
        std::exit(3);
    }
    g_object_unref(address);
    return server;
}

void after(unsigned milliseconds, std::function<void()> function)
{
    g_timeout_add(milliseconds, &runOnce, new std::function<void()>(std::move(function)));
}

void every(unsigned milliseconds, std::function<void()> function)
{
    g_timeout_add(milliseconds, &runAgain, new std::function<void()>(std::move(function)));
}

void runUntilSignal(const std::function<void()>& atEnd)
{
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    g_unix_signal_add(SIGTERM, &quitLoop, loop);
    g_unix_signal_add(SIGINT, &quitLoop, loop);
    g_main_loop_run(loop);
    atEnd();
    g_main_loop_unref(loop);
}

void writeFile(const std::string& path, const std::string& text)
{
    std::ofstream(path, std::ios::binary) << text;
}

} // namespace standin
