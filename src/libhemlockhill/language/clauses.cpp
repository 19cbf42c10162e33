// Parsing of clauses and their values.
#include "clauses.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr Bytes MaxSize{1'000'000'000'000'000};
constexpr std::size_t MaxOperationIdLength = 128;

std::optional<Revision> parseRevision(std::string_view text)
{
    const auto number = parseNumber(text);
    return number ? std::optional(Revision{*number}) : std::nullopt;
}

std::optional<OperationId> parseOperationId(std::string_view text)
{
    return text.size() <= MaxOperationIdLength ? std::optional(OperationId{std::string(text)}) : std::nullopt;
}

Words unusedKeywords(const std::vector<Clause> &clauses, const std::vector<bool> &seen)
{
    Words words;
    for (std::size_t index = 0; index < clauses.size(); ++index) {
        if (!seen[index]) {
            words.push_back(clauses[index].keyword);
        }
    }
    return words;
}

std::vector<bool> readClausesAndMarkSeen(TokenReader &reader, const std::vector<Clause> &clauses)
{
    std::vector<bool> seen(clauses.size(), false);
    while (!reader.atEnd()) {
        std::size_t index = 0;
        while (index < clauses.size() && (seen[index] || !reader.consumeIf(clauses[index].keyword))) {
            ++index;
        }
        if (index == clauses.size()) {
            const Words left = unusedKeywords(clauses, seen);
            reader.failAtNext(left.empty() ? "the end of the statement" : joinWords(left) + ", or the end of the statement", left);
        }
        seen[index] = true;
        clauses[index].read(reader);
    }
    for (std::size_t index = 0; index < clauses.size(); ++index) {
        if (clauses[index].required && !seen[index]) {
            reader.failAtNext("the clause " + std::string(clauses[index].keyword));
        }
    }
    return seen;
}

} // namespace

std::size_t readClauses(TokenReader &reader, const std::vector<Clause> &clauses)
{
    const std::vector<bool> seen = readClausesAndMarkSeen(reader, clauses);
    return static_cast<std::size_t>(std::count(seen.begin(), seen.end(), true));
}

std::size_t readCommandClauses(TokenReader &reader, std::vector<Clause> clauses, CommandRequest &request)
{
    const std::size_t specificClauses = clauses.size();
    std::optional<OperationId> operation;
    clauses.push_back(valueClause<Revision>("at", false, request.expected, parseRevision, "a revision number"));
    clauses.push_back(valueClause<OperationId>("operation", false, operation, parseOperationId, "an operation id of up to 128 characters"));
    const std::vector<bool> seen = readClausesAndMarkSeen(reader, clauses);
    request.operation = operation.value_or(OperationId{});
    return static_cast<std::size_t>(std::count(seen.begin(), seen.begin() + static_cast<std::ptrdiff_t>(specificClauses), true));
}

std::vector<Clause> flagClauses(std::string_view whenTrue, std::string_view whenFalse, std::optional<bool> &target)
{
    const auto setter = [&target, whenTrue, whenFalse](bool value) {
        return [&target, whenTrue, whenFalse, value](TokenReader &reader) {
            if (target) {
                reader.failAtPrevious("only one of " + std::string(whenTrue) + " and " + std::string(whenFalse));
            }
            target = value;
        };
    };
    return {{whenTrue, false, setter(true)}, {whenFalse, false, setter(false)}};
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<Bytes> parseSize(std::string_view text)
{
    const auto size = parseBytes(text);
    return size && *size <= MaxSize ? size : std::nullopt;
}

std::optional<Duration> parsePositiveDuration(std::string_view text)
{
    const auto duration = parseDuration(text);
    return duration && *duration > Duration::zero() ? duration : std::nullopt;
}

} // namespace Hemlockhill
