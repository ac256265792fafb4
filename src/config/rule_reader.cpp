/** @file rule_reader.cpp The words that rules consist of. */
#include "config/rule_reader.h"

#include "core/text_func.h"
#include "wire/message_type.h"

namespace lavender {

void LineReader::addFaultAtNextWord(std::string_view expected)
{
    if (this->isAtEnd()) {
        this->addFault(this->line.end, concat("unexpected end of line: expected ", expected));
        return;
    }
    const Word& word = this->line.words[this->next];
    this->addFault(word.position, concat("\"", word.text, "\": expected ", expected));
}

bool LineReader::isNextNumber() const
{
    uint32_t number = 0;
    return !this->isAtEnd() && parseNumber(this->line.words[this->next].text, number);
}

std::optional<Word> LineReader::takeAnyWord(std::string_view expected)
{
    if (this->isAtEnd()) {
        this->addFaultAtNextWord(expected);
        return std::nullopt;
    }
    return this->line.words[this->next++];
}

std::optional<std::string> LineReader::takeName(std::string_view expected)
{
    if (this->isAtEnd() || !isValidName(this->line.words[this->next].text, maximumNameBytes)) {
        this->addFaultAtNextWord(concat(expected, " of a-z, 0-9 and -, at most ", maximumNameBytes, " characters"));
        return std::nullopt;
    }
    return std::string(this->line.words[this->next++].text);
}

std::optional<Address> LineReader::takeAddress()
{
    if (!this->isAtEnd()) {
        const absl::StatusOr<Address> address = parseAddress(this->line.words[this->next].text);
        if (address.ok()) {
            ++this->next;
            return *address;
        }
    }
    this->addFaultAtNextWord("an address A.B.C.D:PORT with port 1..65535");
    return std::nullopt;
}

std::optional<uint32_t> LineReader::takeNumber(uint32_t low, uint32_t high)
{
    uint32_t number = 0;
    if (this->isAtEnd() || !parseNumber(this->line.words[this->next].text, number) || number < low || number > high) {
        this->addFaultAtNextWord(concat("a number ", low, "..", high));
        return std::nullopt;
    }
    ++this->next;
    return number;
}

bool LineReader::takeKeyword(std::string_view expected)
{
    if (this->isAtEnd() || this->line.words[this->next].text != expected) {
        this->addFaultAtNextWord(concat("\"", expected, "\""));
        return false;
    }
    ++this->next;
    return true;
}

} // namespace lavender
