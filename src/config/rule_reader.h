/** @file rule_reader.h Reads the words of one rule in order. */
#pragma once

#include "config/rule_line.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavender {

/** Reads the words of one rule in order. The take functions add a fault if the next word is not what they expect. */
class LineReader {
public:
    LineReader(const Line& line, std::vector<RuleFault>& faults)
        : line(line)
        , faults(faults)
    {
    }

    bool isAtEnd() const { return this->next == this->line.words.size(); }
    bool isNext(std::string_view word) const { return !this->isAtEnd() && this->line.words[this->next].text == word; }
    bool isNextNumber() const;
    std::string_view nextWord() const { return this->isAtEnd() ? std::string_view() : this->line.words[this->next].text; }
    RulePosition position() const { return this->isAtEnd() ? this->line.end : this->line.words[this->next].position; }
    RulePosition start() const { return this->line.words.front().position; }

    void addFault(RulePosition position, std::string text) { this->faults.push_back({ position, std::move(text) }); }

    /** Adds a fault at the next word, or at the end of the line if there is none. */
    void addFaultAtNextWord(std::string_view expected);

    std::optional<Word> takeAnyWord(std::string_view expected);
    std::optional<std::string> takeName(std::string_view expected);
    std::optional<Address> takeAddress();
    std::optional<uint32_t> takeNumber(uint32_t low, uint32_t high);
    bool takeKeyword(std::string_view expected);

private:
    const Line& line;
    std::vector<RuleFault>& faults;
    size_t next = 1; ///< Index of the next word; word 0 is the keyword of the rule.
};

} // namespace lavender
