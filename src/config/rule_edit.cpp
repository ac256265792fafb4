/** @file rule_edit.cpp Edits single lines of a rules file; all others stay byte for byte. */
#include "config/rule_func.h"
#include "config/rule_line.h"
#include "core/text_func.h"

#include <algorithm>
#include <functional>

namespace lavender {

namespace {

    /**
     * Replaces the first line for which @p isMatch holds by @p line and removes any others; appends @p line if none matches.
     * An empty @p line removes all matching lines.
     */
    std::string replaceLine(std::string_view text, const std::function<bool(const Line&)>& isMatch, const std::string& line)
    {
        std::string result;
        bool isWritten = line.empty(); // Nothing to write then.
        size_t at = 0;
        while (at < text.size()) {
            const size_t end = std::min(text.find('\n', at), text.size());
            const std::string_view oldLine = text.substr(at, end - at);
            const Line parsed = splitLine(oldLine, 0);
            const bool isReplaced = !parsed.words.empty() && isMatch(parsed);
            if (!isReplaced) {
                appendText(result, oldLine, end < text.size() ? "\n" : "");
            } else if (!isWritten) {
                appendText(result, line, "\n");
                isWritten = true;
            }
            at = end + 1;
        }
        if (!isWritten) {
            appendText(result, result.empty() || result.back() == '\n' ? "" : "\n", line, "\n");
        }
        return result;
    }

} // namespace

std::string withZone(std::string_view text, std::string_view zone, bool isOut, std::string_view who)
{
    const auto isMatch = [zone](const Line& line) {
        return line.words.size() > 1 && line.words[0].text == "zone" && line.words[1].text == zone;
    };
    return replaceLine(text, isMatch, concat("zone ", zone, isOut ? " out" : " in", " # ", who));
}

std::string withDrain(std::string_view text, Address agent, bool isDrained, std::string_view who)
{
    const std::string address = formatAddress(agent);
    const auto isMatch = [&address](const Line& line) {
        return line.words.size() > 1 && line.words[0].text == "drain" && line.words[1].text == address;
    };
    return replaceLine(text, isMatch, isDrained ? concat("drain ", address, " # ", who) : "");
}

} // namespace lavender
