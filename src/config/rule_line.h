/** @file rule_line.h Splits a line of the operators' rules into words and a comment. */
#pragma once

#include "config/rule_type.h"

#include <string_view>
#include <vector>

namespace lavender {

/** One word of a rule and its position in the file. */
struct Word {
    std::string_view text;
    RulePosition position;
};

/** One line of a rules file. */
struct Line {
    std::vector<Word> words; ///< Words before the comment.
    std::string_view comment; ///< Text after '#' without surrounding blanks.
    RulePosition end; ///< Position after the last word; line 0 if there is none.
    bool hasComment = false;
};

/**
 * Splits one line. The words and the comment are views of @p text.
 * @param number Line number for the positions, from 1.
 */
Line splitLine(std::string_view text, size_t number);

} // namespace lavender
