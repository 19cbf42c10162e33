// Builders of the tables that answers consist of. Each returns the rows that match the filter.
#pragma once

#include "hemlockhill/operator_answer.h"

namespace Hemlockhill
{

TextTable endpointTable(const OperatorView &view, const QueryFilter &filter);
TextTable modelTable(const OperatorView &view, const QueryFilter &filter);
TextTable adapterTable(const OperatorView &view, const QueryFilter &filter);
TextTable serviceTable(const OperatorView &view, const QueryFilter &filter);
TextTable vmTable(const OperatorView &view, const QueryFilter &filter);
TextTable settingTable(const OperatorView &view);
TextTable statusTable(const OperatorView &view);

TextTable placementTable(const OperatorView &view, const QueryFilter &filter);
TextTable memoryTable(const OperatorView &view, const QueryFilter &filter);
TextTable nodeTable(const OperatorView &view, const QueryFilter &filter);
TextTable controllerTable(const OperatorView &view, const QueryFilter &filter);
TextTable orderTable(const OperatorView &view, const QueryFilter &filter);
TextTable performanceTable(const OperatorView &view, const QueryFilter &filter);
TextTable journalTable(const OperatorView &view, const JournalFilter &filter);
// Translates a query filter to a journal filter, with the maximum age converted to a point in time.
JournalFilter journalFilter(const OperatorView &view, const QueryFilter &filter);

// Number of endpoints that have the model loaded. Adapters are not counted.
std::uint64_t loadedCopies(const OperatorView &view, const ModelId &model);

// True when the filter id is empty or equal to the id found.
template<typename NameId>
bool matchesFilter(const NameId &wanted, const NameId &found)
{
    return wanted.empty() || wanted == found;
}

// The id, or an absent value when the id is empty.
template<typename NameId>
Cell optionalId(const NameId &id)
{
    return id.empty() ? Cell(std::nullopt) : Cell(id);
}

} // namespace Hemlockhill
