/** @file rule_line.cpp Words are separated by blanks; a comment extends from '#' to the end of the line. */
#include "config/rule_line.h"

namespace lavender {

namespace {

    bool isBlank(char character) { return character == ' ' || character == '\t' || character == '\r'; }

} // namespace

Line splitLine(std::string_view text, size_t number)
{
    Line line;
    size_t at = 0;
    while (at < text.size()) {
        if (isBlank(text[at])) {
            ++at;
            continue;
        }
        if (text[at] == '#') {
            line.hasComment = true;
            line.comment = text.substr(at + 1);
            while (!line.comment.empty() && isBlank(line.comment.front())) {
                line.comment.remove_prefix(1);
            }
            while (!line.comment.empty() && isBlank(line.comment.back())) {
                line.comment.remove_suffix(1);
            }
            break;
        }
        const size_t start = at;
        while (at < text.size() && !isBlank(text[at]) && text[at] != '#') {
            ++at;
        }
        line.words.push_back({ text.substr(start, at - start), { number, start + 1 } });
        line.end = { number, at + 1 };
    }
    return line;
}

} // namespace lavender
