/** @file text.cpp Splits, joins and checks texts. */
#include "core/text_func.h"

#include <algorithm>

namespace lavender {

std::vector<std::string_view> splitText(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    size_t start = 0;
    while (true) {
        const size_t end = text.find(separator, start);
        parts.push_back(text.substr(start, end == std::string_view::npos ? end : end - start));
        if (end == std::string_view::npos) {
            return parts;
        }
        start = end + 1;
    }
}

bool isValidName(std::string_view text, size_t maximumLength)
{
    const auto isNameCharacter = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
    };
    return !text.empty() && text.size() <= maximumLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::string joinText(const std::vector<std::string_view>& parts, std::string_view separator)
{
    return fmt::format("{}", fmt::join(parts, separator));
}

} // namespace lavender
