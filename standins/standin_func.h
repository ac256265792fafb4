/** @file standin_func.h Functions that all stand-ins (stub programs) use: options, an HTTP server, timers and the main loop. */
#pragma once

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace standin {

using Json = nlohmann::json;

/** Parses the only argument of the program, a JSON object with its options. Exits with 2 if it is anything else. */
Json readOptions(int argc, char** argv);

/** Parses a JSON object. @return An empty object if the text is anything else. */
Json parseObject(const char* text, size_t size);

/** Responds to a request with a JSON body. */
void respondJson(SoupServerMessage* message, unsigned status, const Json& body);

/** Parses the body of a request. @return An empty object if the body is no JSON object. */
Json parseRequestBody(SoupServerMessage* message);

/** Starts an HTTP server on 127.0.0.1. Exits with 3 if it can't listen on @p port, for example if the port is in use. */
SoupServer* startServer(uint16_t port);

/** Calls @p function once on the main loop, @p milliseconds from now. */
void runAfter(unsigned milliseconds, std::function<void()> function);
/** Calls @p function on the main loop every @p milliseconds. */
void runEvery(unsigned milliseconds, std::function<void()> function);

/** Runs the main loop until SIGTERM or SIGINT, then calls @p onExit. */
void runUntilSignal(const std::function<void()>& onExit);

/** Replaces the content of the file at @p path with @p text. Errors are ignored. */
void writeFile(const std::string& path, const std::string& text);

} // namespace standin
