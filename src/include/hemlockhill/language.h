// Parser and formatter of the operator language: commands that change the region state, and queries about it.
//
//   declare endpoint runner-1 address 127.0.0.1:9001 in ktm-1 memory 80GB [kind runner|plain-service] [fencing checked|ignored]
//   declare model scribe version v1 weights 12GB kv 2GB [copies 2] [service drafts]
//   declare adapter bagmati for scribe version v1 weights 100MB [pinned|unpinned]
//   declare service drafts [priority interactive|normal|batch] [first-token 470ms] [between-tokens 25ms] [deadline 30s]
//                          [once-only|repeatable] [endpoints register-1,register-2]
//   declare vm vm-a address 10.0.0.1:7300 in ktm-1 [controller|no-controller]
//   change endpoint|model|adapter|service NAME CLAUSE...        properties without a clause keep their values
//   withdraw endpoint|model|adapter|service|vm NAME
//   replace vm NAME by NAME address ADDRESS in DATA-CENTRE [controller]
//   drain endpoint NAME        admit endpoint NAME
//   pin model NAME on ENDPOINT        unpin model NAME on ENDPOINT
//   set attainment-weight|move-weight|loads-per-second|concurrent-loads|concurrent-adapter-loads NUMBER        unset SETTING
//   show endpoints|models|adapters|services|vms|settings|status|placement|performance|memory|nodes|controllers|orders|journal [FILTER...]
//   explain model|adapter|endpoint|request NAME        explain last 1h
//   plan COMMAND
//
// A command may end with "at 41", which refuses it unless the state is at exactly that revision, and with "operation ID", which makes it
// idempotent: a repeated command with the same id returns the first answer. Declaring an existing object replaces it. Filters are clauses
// such as "model scribe" or "last 1h".
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/region_state.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Hemlockhill
{

// A statement that does not parse. Columns are counted in bytes from 1; the end of the statement is one past its last byte.
class LanguageError : public Error
{
public:
    LanguageError(std::size_t column, const std::string &expected, std::string_view suggestion = {});

    std::size_t column() const { return m_column; }
    // Description of the input that is valid at that column.
    const std::string &expected() const { return m_expected; }
    // The keyword most similar to the word found at that column. Empty when none is similar.
    const std::string &suggestion() const { return m_suggestion; }

private:
    std::size_t m_column;
    std::string m_expected;
    std::string m_suggestion;
};

enum class ShowSubject {
    Endpoints,
    Models,
    Adapters,
    Services,
    Vms,
    Settings,
    Status,
    Placement,
    Performance,
    Memory,
    Nodes,
    Controllers,
    Orders,
    Journal,
};

// Restricts the rows of an answer. Empty ids match every row.
struct QueryFilter {
    ModelId model;
    AdapterId adapter;
    EndpointId endpoint;
    ServiceId service;
    DataCentreId dataCentre;
    VmId vm;
    RequestId request;
    // Maximum age of the journal decisions returned. Unlimited when absent.
    std::optional<Duration> last;
    bool operator==(const QueryFilter &) const = default;
};

struct ShowQuery {
    ShowSubject subject = ShowSubject::Status;
    QueryFilter filter;
    bool operator==(const ShowQuery &) const = default;
};

// Asks for the state and the recorded decisions of an object, for the decisions about a request, or for all decisions of the given most
// recent period.
struct ExplainQuery {
    std::variant<ModelId, AdapterId, EndpointId, RequestId, Duration> subject;
    bool operator==(const ExplainQuery &) const = default;
};

// Asks what a command would change, without applying it.
struct PlanQuery {
    CommandRequest request;
    bool operator==(const PlanQuery &) const = default;
};

using Statement = std::variant<CommandRequest, ShowQuery, ExplainQuery, PlanQuery>;

// Parses one statement. Throws LanguageError when it is not valid.
Statement parseStatement(std::string_view text);

// Formats a command as a statement that parses to an equal command. Optional clauses with default values may be written out.
std::string format(const Command &command);

// Formats a command request as a statement that parses to an equal request, including its expected revision and operation id.
std::string format(const CommandRequest &request);

std::string_view toText(ShowSubject subject);

} // namespace Hemlockhill
