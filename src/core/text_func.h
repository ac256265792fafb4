/** @file text_func.h Small text helpers on views; Debian's absl knows only views of its own type. */
#pragma once

#include <fmt/format.h>

#include <charconv>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/** Appends each argument as fmt writes it. */
template <typename... Args>
void appendText(std::string& text, const Args&... args)
{
    (fmt::format_to(std::back_inserter(text), "{}", args), ...);
}

/** All arguments as one text. */
template <typename... Args>
std::string concat(const Args&... args)
{
    std::string text;
    appendText(text, args...);
    return text;
}

/** Reads a whole number that takes up all of @p text. @return False where it does not. */
template <typename Number>
bool parseNumber(std::string_view text, Number& number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

/** Parts of @p text between separators; one empty part for an empty text. */
std::vector<std::string_view> splitText(std::string_view text, char separator);

/** True for a name of services and zones: a-z, 0-9 and -, 1 to @p longest characters. */
bool isNameText(std::string_view text, size_t longest);

/** Parts with a separator between them. */
std::string joinText(const std::vector<std::string_view>& parts, std::string_view separator);

} // namespace lavender
