// Answers to operator statements. One table model is rendered both as text for people and as JSON for programs.
#pragma once

#include "hemlockhill/language.h"
#include "hemlockhill/operator_view.h"
#include "hemlockhill/region_state.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hemlockhill
{

// One table value. In JSON, sizes and durations are strings with a unit, such as "80GB"; integers, numbers and booleans keep their type.
class Cell
{
public:
    Cell(std::string text);
    Cell(std::string_view text);
    Cell(const char *text);
    Cell(std::uint64_t count);
    Cell(std::uint32_t count);
    // Rounded to two decimal places.
    Cell(double number);
    // "yes" or "no" as text.
    Cell(bool value);
    Cell(Bytes bytes);
    Cell(Duration duration);
    template<typename Tag>
    Cell(const Id<Tag> &id)
        : Cell(id.value)
    {
    }
    // An unknown or absent value: "-" as text, null in JSON.
    Cell(std::nullopt_t);
    template<typename Value>
    Cell(const std::optional<Value> &value)
        : Cell(value ? Cell(*value) : Cell(std::nullopt))
    {
    }

    const std::string &text() const { return m_text; }
    const boost::json::value &json() const { return m_json; }

private:
    std::string m_text;
    boost::json::value m_json;
};

// A table. Every row has one cell for each column.
struct TextTable {
    std::vector<std::string> columnNames;
    std::vector<std::vector<Cell>> rows;

    // Rendered with aligned columns under a line of column names.
    std::string text() const;
    // An array with one object for each row, keyed by column name.
    boost::json::value json() const;
};

struct AnswerSection {
    std::string title;
    TextTable table;
};

// One or more tables. A single section is rendered without its title, as a table or a JSON array. Several sections are rendered under
// their titles, or as the members of a JSON object.
struct OperatorAnswer {
    std::vector<AnswerSection> sections;

    std::string text() const;
    boost::json::value json() const;
};

using QueryOutcome = std::variant<OperatorAnswer, Refusal>;

// Lists the rows that match the filter of the query.
OperatorAnswer answer(const OperatorView &view, const ShowQuery &query);

// Explains the subject from the state and the journal. Refused with UnknownObject when the subject is neither declared nor in the
// journal.
QueryOutcome answer(const OperatorView &view, const ExplainQuery &query);

// Returns the state changes that the command would cause and the placement steps predicted by the hook, or the refusal that the command
// would get.
QueryOutcome answer(const OperatorView &view, const PlanQuery &query, const PlanHook &hook = {});

// Answers a show, explain or plan query. The statement must not be a command.
QueryOutcome answerQuery(const OperatorView &view, const Statement &query, const PlanHook &hook = {});

// One line of text: "accepted at revision 7", or the refusal with its reason and detail.
std::string describe(const CommandOutcome &outcome);
// The outcome as a JSON object with the member "accepted" and either the revision or the members of the refusal.
boost::json::value toJson(const CommandOutcome &outcome);

} // namespace Hemlockhill
