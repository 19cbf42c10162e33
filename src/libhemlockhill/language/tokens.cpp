// Tokenizer of statements, built on Boost.Spirit X3.
#include "tokens.h"

#include "hemlockhill/language.h"
#include "hemlockhill/world.h"

#include <boost/spirit/home/x3.hpp>

#include <algorithm>
#include <numeric>

namespace Hemlockhill
{

namespace
{

namespace x3 = boost::spirit::x3;

constexpr std::string_view NameExpected = "a name: a letter or digit, then up to 63 letters, digits and -_./+";
// Maximum edit distance, in characters, between an unknown word and the keyword suggested for it.
constexpr std::size_t MaxSuggestionEditDistance = 2;

const auto WordCharacter = x3::ascii::alnum | x3::char_("-_.:,/@[]+*");
const auto Word = x3::raw[x3::lexeme[+WordCharacter]];

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, diagonal + 1, row[j] + 1});
        }
    }
    return row.back();
}

std::string errorText(std::size_t column, const std::string &expected, std::string_view suggestion)
{
    std::string text = "column " + std::to_string(column) + ": expected " + expected;
    if (!suggestion.empty()) {
        text += "; did you mean " + std::string(suggestion) + "?";
    }
    return text;
}

} // namespace

LanguageError::LanguageError(std::size_t column, const std::string &expected, std::string_view suggestion)
    : Error(errorText(column, expected, suggestion))
    , m_column(column)
    , m_expected(expected)
    , m_suggestion(suggestion)
{
}

std::vector<Token> tokenize(std::string_view statement)
{
    std::vector<Token> tokens;
    const auto begin = statement.begin();
    const auto end = statement.end();
    const auto take = [&](auto &context) {
        const auto &range = x3::_attr(context);
        tokens.push_back({std::string(range.begin(), range.end()), static_cast<std::size_t>(range.begin() - begin) + 1});
    };
    auto position = begin;
    x3::phrase_parse(position, end, *Word[take], x3::ascii::space);
    if (position != end) {
        throw LanguageError(static_cast<std::size_t>(position - begin) + 1, "a word of letters, digits and -_.:,/@[]+*");
    }
    return tokens;
}

std::string joinWords(const Words &words)
{
    std::string text;
    for (std::size_t index = 0; index < words.size(); ++index) {
        if (index > 0) {
            text += index + 1 == words.size() ? " or " : ", ";
        }
        text += words[index];
    }
    return text;
}

std::string_view closestWord(std::string_view text, const Words &words)
{
    std::string_view closest;
    std::size_t best = MaxSuggestionEditDistance + 1;
    for (const std::string_view word : words) {
        // Skips the comparison, which is slow for long texts, when the length difference alone exceeds the limit.
        if (text.size() > word.size() + MaxSuggestionEditDistance) {
            continue;
        }
        const std::size_t distance = editDistance(text, word);
        if (distance < best && distance < word.size()) {
            best = distance;
            closest = word;
        }
    }
    return closest;
}

TokenReader::TokenReader(std::string_view statement)
    : m_tokens(tokenize(statement))
    , m_endColumn(statement.size() + 1)
{
}

bool TokenReader::consumeIf(std::string_view word)
{
    if (atEnd() || m_tokens[m_next].text != word) {
        return false;
    }
    ++m_next;
    return true;
}

void TokenReader::expect(std::string_view word)
{
    if (!consumeIf(word)) {
        failAtNext(std::string(word), {word});
    }
}

std::string TokenReader::word(std::string_view expected)
{
    if (atEnd()) {
        failAtNext(std::string(expected));
    }
    return m_tokens[m_next++].text;
}

std::string TokenReader::name()
{
    std::string text = word(NameExpected);
    if (!isName(text)) {
        failAtPrevious(std::string(NameExpected));
    }
    return text;
}

std::size_t TokenReader::choice(const Words &words)
{
    for (std::size_t index = 0; index < words.size(); ++index) {
        if (consumeIf(words[index])) {
            return index;
        }
    }
    failAtNext(joinWords(words), words);
}

void TokenReader::requireNext(const Words &words) const
{
    if (atEnd() || std::find(words.begin(), words.end(), m_tokens[m_next].text) == words.end()) {
        failAtNext(joinWords(words), words);
    }
}

void TokenReader::failAtNext(const std::string &expected) const
{
    failAt(m_next, expected);
}

void TokenReader::failAtPrevious(const std::string &expected) const
{
    failAt(m_next - 1, expected);
}

void TokenReader::failAtNext(const std::string &expected, const Words &words) const
{
    failAt(m_next, expected, atEnd() ? std::string_view{} : closestWord(m_tokens[m_next].text, words));
}

void TokenReader::failAt(std::size_t index, const std::string &expected, std::string_view suggestion) const
{
    const std::size_t column = index < m_tokens.size() ? m_tokens[index].column : m_endColumn;
    throw LanguageError(column, expected, suggestion);
}

} // namespace Hemlockhill
