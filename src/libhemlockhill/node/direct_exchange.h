// Exchanges over this node's own connections to endpoints.
#pragma once

#include "hemlockhill/endpoint_reachability.h"
#include "hemlockhill/http_exchange.h"

#include <memory>

namespace Hemlockhill
{

// Starts an exchange with an endpoint and reports to `reachability` what it shows about the path there.
std::shared_ptr<HttpExchange> startDirectExchange(ConnectionPool &pool,
                                                  std::shared_ptr<EndpointReachability> reachability,
                                                  const EndpointId &endpoint,
                                                  const Address &address,
                                                  const HttpRequest &request,
                                                  const ExchangeLimits &limits,
                                                  ConnectionChoice connection,
                                                  ExchangeHooks hooks);

} // namespace Hemlockhill
