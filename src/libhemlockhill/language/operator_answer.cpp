// Rendering of tables and command outcomes as text and JSON.
#include "hemlockhill/operator_answer.h"

#include "answer_tables.h"
#include "hemlockhill/refusal_answer.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::size_t ColumnGap = 2;

std::string twoDecimals(double number)
{
    std::array<char, 400> text{};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed, 2);
    return {text.data(), end};
}

double rounded(double number)
{
    constexpr double Scale = 100;
    return std::round(number * Scale) / Scale;
}

void appendRow(std::string &text, const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        line += cells[column];
        if (column + 1 < cells.size()) {
            line.append(widths[column] - cells[column].size() + ColumnGap, ' ');
        }
    }
    text += line + "\n";
}

} // namespace

Cell::Cell(std::string text)
    : m_text(std::move(text))
    , m_json(m_text)
{
}

Cell::Cell(std::string_view text)
    : Cell(std::string(text))
{
}

Cell::Cell(const char *text)
    : Cell(std::string(text))
{
}

Cell::Cell(std::uint64_t count)
    : m_text(std::to_string(count))
    , m_json(count)
{
}

Cell::Cell(std::uint32_t count)
    : Cell(std::uint64_t{count})
{
}

Cell::Cell(double number)
    : m_text(twoDecimals(number))
    , m_json(rounded(number))
{
}

Cell::Cell(bool value)
    : m_text(value ? "yes" : "no")
    , m_json(value)
{
}

Cell::Cell(Bytes bytes)
    : Cell(formatBytes(bytes))
{
}

Cell::Cell(Duration duration)
    : Cell(formatDuration(duration))
{
}

Cell::Cell(std::nullopt_t)
    : m_text("-")
{
}

std::string TextTable::text() const
{
    std::vector<std::size_t> widths;
    for (const std::string &cell : columnNames) {
        widths.push_back(cell.size());
    }
    std::vector<std::vector<std::string>> lines;
    for (const auto &row : rows) {
        std::vector<std::string> &line = lines.emplace_back();
        for (std::size_t column = 0; column < row.size(); ++column) {
            line.push_back(row[column].text());
            widths[column] = std::max(widths[column], line.back().size());
        }
    }
    std::string text;
    appendRow(text, columnNames, widths);
    for (const auto &line : lines) {
        appendRow(text, line, widths);
    }
    return text;
}

boost::json::value TextTable::json() const
{
    boost::json::array list;
    for (const auto &row : rows) {
        boost::json::object object;
        for (std::size_t column = 0; column < row.size(); ++column) {
            object[columnNames[column]] = row[column].json();
        }
        list.push_back(std::move(object));
    }
    return list;
}

std::string OperatorAnswer::text() const
{
    if (sections.size() == 1) {
        return sections.front().table.text();
    }
    std::string text;
    for (const AnswerSection &section : sections) {
        text += (text.empty() ? "" : "\n") + section.title + ":\n";
        text += section.table.rows.empty() ? "none\n" : section.table.text();
    }
    return text;
}

boost::json::value OperatorAnswer::json() const
{
    if (sections.size() == 1) {
        return sections.front().table.json();
    }
    boost::json::object object;
    for (const AnswerSection &section : sections) {
        object[section.title] = section.table.json();
    }
    return object;
}

OperatorAnswer answer(const OperatorView &view, const ShowQuery &query)
{
    const QueryFilter &filter = query.filter;
    const auto table = [&]() -> TextTable {
        switch (query.subject) {
        case ShowSubject::Endpoints:
            return endpointTable(view, filter);
        case ShowSubject::Models:
            return modelTable(view, filter);
        case ShowSubject::Adapters:
            return adapterTable(view, filter);
        case ShowSubject::Services:
            return serviceTable(view, filter);
        case ShowSubject::Vms:
            return vmTable(view, filter);
        case ShowSubject::Settings:
            return settingTable(view);
        case ShowSubject::Status:
            return statusTable(view);
        case ShowSubject::Placement:
            return placementTable(view, filter);
        case ShowSubject::Performance:
            return performanceTable(view, filter);
        case ShowSubject::Memory:
            return memoryTable(view, filter);
        case ShowSubject::Nodes:
            return nodeTable(view, filter);
        case ShowSubject::Controllers:
            return controllerTable(view, filter);
        case ShowSubject::Orders:
            return orderTable(view, filter);
        case ShowSubject::Journal:
            break;
        }
        return journalTable(view, journalFilter(view, filter));
    };
    return {{{std::string(toText(query.subject)), table()}}};
}

std::string describe(const CommandOutcome &outcome)
{
    if (const auto *accepted = std::get_if<CommandAccepted>(&outcome)) {
        return "accepted at revision " + std::to_string(accepted->revision.value) + "\n";
    }
    const auto &refusal = std::get<Refusal>(outcome);
    return "refused: " + std::string(toText(refusal.reason)) + ": " + refusal.detail + "\n";
}

boost::json::value toJson(const CommandOutcome &outcome)
{
    if (const auto *accepted = std::get_if<CommandAccepted>(&outcome)) {
        return {{"accepted", true}, {"revision", accepted->revision.value}};
    }
    boost::json::object object = refusalBody(std::get<Refusal>(outcome), RequestId{});
    object["accepted"] = false;
    return object;
}

} // namespace Hemlockhill
