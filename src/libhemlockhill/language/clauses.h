// Clauses of a statement: keywords with a value, in any order, each at most once.
#pragma once

#include "hemlockhill/region_state.h"
#include "tokens.h"

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// A clause: its keyword and a function that parses its value.
struct Clause {
    std::string_view keyword;
    bool required = false;
    std::function<void(TokenReader &)> read;
};

// Parses clauses up to the end of the statement and returns their number. Throws LanguageError when a required clause is missing or any
// other word is found.
std::size_t readClauses(TokenReader &reader, const std::vector<Clause> &clauses);

// Parses the clauses of a command and the two that every command accepts, "at REVISION" and "operation ID". Returns the number of clauses
// found without these two.
std::size_t readCommandClauses(TokenReader &reader, std::vector<Clause> clauses, CommandRequest &request);

// A clause whose value is an object name.
template<typename NameId>
Clause nameClause(std::string_view keyword, bool required, std::optional<NameId> &target)
{
    return {keyword, required, [&target](TokenReader &reader) { target = NameId{reader.name()}; }};
}

// An optional clause that restricts a query to an object name.
template<typename NameId>
Clause filterClause(std::string_view keyword, NameId &target)
{
    return {keyword, false, [&target](TokenReader &reader) { target = NameId{reader.name()}; }};
}

// A clause whose value is parsed by a function. The expected text describes valid values in errors.
template<typename Value>
Clause valueClause(std::string_view keyword,
                   bool required,
                   std::optional<Value> &target,
                   std::optional<Value> (*parse)(std::string_view),
                   std::string_view expected)
{
    return {keyword, required, [&target, parse, expected](TokenReader &reader) { target = reader.value<Value>(parse, expected); }};
}

// Two mutually exclusive keywords for the values of a boolean property.
std::vector<Clause> flagClauses(std::string_view whenTrue, std::string_view whenFalse, std::optional<bool> &target);

// Parses an unsigned decimal integer.
std::optional<std::uint64_t> parseNumber(std::string_view text);
// Parses a size of at most 1000TB, a limit that keeps sums of sizes from overflowing.
std::optional<Bytes> parseSize(std::string_view text);
// Parses a duration greater than zero.
std::optional<Duration> parsePositiveDuration(std::string_view text);

constexpr std::string_view SizeExpected = "a size with its unit, such as 80GB";
constexpr std::string_view DurationExpected = "a duration greater than zero with its unit, such as 470ms";

} // namespace Hemlockhill
