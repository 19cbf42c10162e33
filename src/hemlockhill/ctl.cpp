#include "ctl.h"

#include "exit_code.h"
#include "hemlockhill/failure.h"
#include "hemlockhill/language.h"
#include "operator_client.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <fstream>
#include <iostream>
#include <istream>
#include <optional>
#include <string_view>

namespace Hemlockhill
{

namespace
{

// A statement and its 1-based line number.
struct ScriptLine {
    std::string text;
    std::size_t line = 0;
};

using Script = std::vector<ScriptLine>;

Script readScript(std::istream &input)
{
    Script script;
    std::string text;
    for (std::size_t line = 1; std::getline(input, text); ++line) {
        const auto first = text.find_first_not_of(" \t\r");
        if (first != std::string::npos && text[first] != '#') {
            script.push_back({text, line});
        }
    }
    return script;
}

Script loadScript(const CtlOptions &options)
{
    if (!options.statements.empty()) {
        Script script;
        for (const std::string &statement : options.statements) {
            script.push_back({statement, script.size() + 1});
        }
        return script;
    }
    if (options.script.empty()) {
        return readScript(std::cin);
    }
    std::ifstream file(options.script);
    if (!file) {
        throw EnvironmentError("cannot read " + options.script);
    }
    return readScript(file);
}

// Appends an operation id to a command that has none, so that resending it is idempotent. A statement that does not parse is
// returned unchanged, because the node may support a newer version of the language.
std::string withOperationId(const ScriptLine &statement, const std::string &prefix)
{
    try {
        const Statement parsed = parseStatement(statement.text);
        const auto *command = std::get_if<CommandRequest>(&parsed);
        if (command == nullptr || !command->operation.empty()) {
            return statement.text;
        }
    } catch (const LanguageError &) {
        return statement.text;
    }
    const std::string id =
        prefix.empty() ? boost::uuids::to_string(boost::uuids::random_generator()()) : prefix + "-" + std::to_string(statement.line);
    return statement.text + " operation " + id;
}

int exitCodeOf(unsigned status)
{
    constexpr unsigned Ok = 200;
    constexpr unsigned BadRequest = 400;
    if (status == Ok) {
        return ExitCode::Success;
    }
    return status == BadRequest ? ExitCode::Usage : ExitCode::Refused;
}

// Sends the statements of a script in order and reports the line at which it stopped.
class ScriptRunner
{
public:
    ScriptRunner(const CtlOptions &options, OperatorClient &client)
        : m_options(options)
        , m_client(client)
        , m_isScript(options.statements.empty())
    {
    }

    int run(const Script &script)
    {
        for (std::size_t index = 0; index < script.size(); ++index) {
            const int code = send(script[index]);
            if (code != ExitCode::Success) {
                reportStop(script[index], script.size() - index - 1);
                return code;
            }
        }
        return ExitCode::Success;
    }

private:
    int send(const ScriptLine &line)
    {
        const std::string statement = withOperationId(line, m_options.operationPrefix);
        try {
            const StatementAnswer answer = m_client.send(statement);
            const int code = exitCodeOf(answer.status);
            (code == ExitCode::Success ? std::cout : std::cerr) << answer.body << std::flush;
            return code;
        } catch (const EnvironmentError &error) {
            std::cerr << "hemlockhill: " << error.what() << '\n';
            if (m_client.mayHaveArrived()) {
                std::cerr << "the outcome is unknown; to resolve it, resend: " << statement << '\n';
            }
            return ExitCode::Unreachable;
        }
    }

    void reportStop(const ScriptLine &line, std::size_t unsent) const
    {
        if (m_isScript) {
            const std::string name = m_options.script.empty() ? "standard input" : m_options.script;
            std::cerr << name << ", line " << line.line << ": script stopped, " << unsent << " statements not sent\n";
        }
    }

    const CtlOptions &m_options;
    OperatorClient &m_client;
    bool m_isScript;
};

int reportUsageError(std::string_view problem)
{
    std::cerr << "hemlockhill ctl: " << problem << '\n';
    return ExitCode::Usage;
}

} // namespace

int runCtl(const CtlOptions &options)
{
    std::vector<Address> addresses;
    for (const std::string &text : options.at) {
        const auto address = parseAddress(text);
        if (!address) {
            return reportUsageError("--at must be an IP address and a port");
        }
        addresses.push_back(*address);
    }
    const auto timeout = parseDuration(options.timeout);
    if (!timeout || *timeout <= Duration::zero()) {
        return reportUsageError("--timeout must be a duration above zero, such as 30s");
    }
    if (!options.operationPrefix.empty() && !isName(options.operationPrefix)) {
        return reportUsageError("--operation must be a name");
    }
    if (!options.statements.empty() && !options.script.empty()) {
        return reportUsageError("give statements or --script, not both");
    }
    OperatorClient client(addresses, *timeout, options.json);
    return ScriptRunner(options, client).run(loadScript(options));
}

} // namespace Hemlockhill
