/** @file standin_func.h What the stand-ins share: options, a control endpoint, a loop that ends on a signal. */
#pragma once

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace standin {

using Json = nlohmann::json;

/** Options as one JSON object: the program's single argument. */
Json readOptions(int argc, char** argv);

/** A JSON object, or a null value where the text is none. */
Json parseObject(const char* text, size_t size);

/** Sets the answer of a message. */
void answerJson(SoupServerMessage* message, unsigned status, const Json& body);

/** The body of a request as JSON. */
Json bodyOf(SoupServerMessage* message);

/** Serves on a loopback port; ends the program where it is taken. */
SoupServer* serve(uint16_t port);

/** Calls a function on the main loop. */
void after(unsigned milliseconds, std::function<void()> function);
/** Calls a function again and again. */
void every(unsigned milliseconds, std::function<void()> function);

/** Runs the main loop until SIGTERM, then calls @p atEnd. */
void runUntilSignal(const std::function<void()>& atEnd);

/** Writes a file whole. */
void writeFile(const std::string& path, const std::string& text);

} // namespace standin
