// Tokenizer of statements and a cursor over the tokens.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// A word of a statement. Columns are counted from 1.
struct Token {
    std::string text;
    std::size_t column = 0;
};

using Words = std::vector<std::string_view>;

// Splits a statement into words. Throws LanguageError at the first character that is not valid in a word.
std::vector<Token> tokenize(std::string_view statement);

// Joins words for a message: "a", "a or b", "a, b or c".
std::string joinWords(const Words &words);

// Returns the word with the smallest edit distance to the text, or an empty view when none is similar enough.
std::string_view closestWord(std::string_view text, const Words &words);

// Cursor over the tokens of one statement. Methods that consume a required token throw LanguageError when it is missing or invalid.
class TokenReader
{
public:
    explicit TokenReader(std::string_view statement);

    bool atEnd() const { return m_next == m_tokens.size(); }
    // Consumes the next token if it equals the word, and returns whether it did.
    bool consumeIf(std::string_view word);
    // Consumes the next token, which must equal the word.
    void expect(std::string_view word);
    // Consumes any token. The expected text describes it in the error thrown at the end of the statement.
    std::string word(std::string_view expected);
    // Consumes an object name.
    std::string name();
    // Consumes one of the words and returns its index.
    std::size_t choice(const Words &words);
    // Throws unless the next token is one of the words. Consumes nothing.
    void requireNext(const Words &words) const;
    // Consumes a token and parses it. Throws at the token when parse returns no value.
    template<typename Value>
    Value value(const std::function<std::optional<Value>(std::string_view)> &parse, std::string_view expected);

    // Throws LanguageError at the next token.
    [[noreturn]] void failAtNext(const std::string &expected) const;
    // Throws LanguageError at the token consumed last.
    [[noreturn]] void failAtPrevious(const std::string &expected) const;
    // Throws LanguageError at the next token and suggests the most similar of the words.
    [[noreturn]] void failAtNext(const std::string &expected, const Words &words) const;

private:
    [[noreturn]] void failAt(std::size_t index, const std::string &expected, std::string_view suggestion = {}) const;

    std::vector<Token> m_tokens;
    std::size_t m_endColumn;
    std::size_t m_next = 0;
};

template<typename Value>
Value TokenReader::value(const std::function<std::optional<Value>(std::string_view)> &parse, std::string_view expected)
{
    const std::string text = word(expected);
    const auto parsed = parse(text);
    if (!parsed) {
        failAtPrevious(std::string(expected));
    }
    return *parsed;
}

} // namespace Hemlockhill
