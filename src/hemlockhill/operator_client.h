// HTTP client that sends statements to the operator addresses of nodes.
#pragma once

#include "hemlockhill/world.h"

#include <memory>
#include <string>
#include <vector>

namespace Hemlockhill
{

// HTTP status and body of the answer to a statement.
struct StatementAnswer {
    unsigned status = 0;
    std::string body;
};

// Tries the addresses in turn, starting with the one that answered last. When all reachable nodes answer 503, retries them for up to
// three seconds, or the timeout if that is shorter. A statement may reach more than one node, so a command needs an operation id to
// be idempotent.
class OperatorClient
{
public:
    // Requires at least one address. The timeout applies to each step of an exchange: connect, send and receive.
    OperatorClient(std::vector<Address> addresses, Duration timeout, bool asJson);
    ~OperatorClient();
    OperatorClient(const OperatorClient &) = delete;
    OperatorClient &operator=(const OperatorClient &) = delete;

    // Throws EnvironmentError with the error of each address when no node answered.
    StatementAnswer send(const std::string &statement);

    // Whether a node may have received the most recent statement, even if no answer arrived.
    bool mayHaveArrived() const { return m_mayHaveArrived; }

private:
    class Connection;

    StatementAnswer sendToAny(const std::string &statement);
    StatementAnswer sendToCurrent(const std::string &statement);
    void advance();

    std::vector<Address> m_addresses;
    Duration m_timeout;
    bool m_asJson;
    std::size_t m_current = 0;
    bool m_mayHaveArrived = false;
    std::unique_ptr<Connection> m_connection;
};

} // namespace Hemlockhill
