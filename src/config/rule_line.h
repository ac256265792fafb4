/** @file rule_line.h One line of the operators' rules, cut into words. */
#pragma once

#include "config/rule_type.h"

#include <string_view>
#include <vector>

namespace lavender {

/** One word of a rule and where it stands. */
struct Word {
    std::string_view text;
    RulePosition position;
};

/** One line of a rules file. */
struct Line {
    std::vector<Word> words; ///< Before the comment.
    std::string_view comment; ///< Behind '#', trimmed.
    RulePosition end; ///< Just behind the last word.
    bool hasComment = false;
};

/** Cuts a line; the parts are views of @p text. @param number Of the line, from 1. */
Line splitLine(std::string_view text, size_t number);

} // namespace lavender
