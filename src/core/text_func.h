/** @file text_func.h Text helpers for std::string_view; those of Debian's absl take only its own absl::string_view. */
#pragma once

#include <fmt/format.h>

#include <charconv>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/** Appends each argument to @p text in its default fmt format. */
template <typename... Args>
void appendText(std::string& text, const Args&... args)
{
    (fmt::format_to(std::back_inserter(text), "{}", args), ...);
}

/** Concatenates the arguments, each in its default fmt format. */
template <typename... Args>
std::string concat(const Args&... args)
{
    std::string text;
    appendText(text, args...);
    return text;
}

/** Parses an integer. @return False if @p text is not entirely a number that fits the type. */
template <typename Number>
bool parseNumber(std::string_view text, Number& number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

/** Splits @p text at each separator; an empty text gives one empty part. */
std::vector<std::string_view> splitText(std::string_view text, char separator);

/** True for a valid name of a service or zone: a-z, 0-9 and -, 1 to @p maximumLength characters. */
bool isValidName(std::string_view text, size_t maximumLength);

/** Joins the parts with @p separator between them. */
std::string joinText(const std::vector<std::string_view>& parts, std::string_view separator);

} // namespace lavender
