// The gateway: brings callers' requests to the endpoints of the routes that a deployment declares, and passes the answers on unchanged.
#pragma once

#include "hemlockhill/deployment.h"
#include "hemlockhill/dispatch_notices.h"
#include "hemlockhill/endpoint_choice.h"
#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/http_exchange.h"
#include "hemlockhill/http_server.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/request_dialect.h"
#include "hemlockhill/retry_budget.h"
#include "hemlockhill/timer_service.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Hemlockhill
{

struct GatewaySettings {
    Address listen;
    DataCentreId dataCentre;
    // Idle connections kept to each endpoint.
    std::size_t idleConnections = 24;
    std::uint32_t connectionLimit = 3000;
    RetryBudgetLimits retries;
};

// What callers asked of one model, or adapter on it, since the last report.
struct TargetFigures {
    std::uint32_t arrivals = 0;
    // Requests that wait for the target to be loaded.
    std::uint32_t waiting = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t expectedTokens = 0;
};
using FiguresByTarget = std::map<RoutingTarget, TargetFigures>;

// The figures as text, and back. Throws DecodeError.
std::string encodeTargetFigures(const FiguresByTarget &figures);
FiguresByTarget decodeTargetFigures(std::string_view text);

class Gateway
{
public:
    Gateway(boost::asio::io_context &loop, GatewaySettings settings, TimerService &timers, Metrics &metrics, RequestDialect dialect);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    // Called when a request is sent to an endpoint or ends there, for the other nodes to know.
    std::function<void(const DispatchNotice &notice)> onDispatch;
    // Another node has sent a request to an endpoint, or one has ended there.
    void onOtherDispatch(const VmId &node, const DispatchNotice &notice);
    // Called when a request begins to wait for a target that no endpoint holds.
    std::function<void()> onTargetMissing;

    // Throws EnvironmentError when the address cannot be bound.
    void start();
    void setDeployment(std::shared_ptr<const Deployment> deployment);
    void setDirectory(EndpointsById endpoints);
    // The figures since the last call.
    FiguresByTarget takeFigures();
    bool hasDeployment() const { return m_deployment != nullptr; }
    bool hasEndpoints() const { return !m_endpoints.empty(); }

    // Answers go on, each the last on its connection.
    void beginLeaving();
    // Takes no more requests, and refuses those that wait; those that endpoints run go on.
    void stopAccepting();
    std::size_t requestsInProgress() const { return m_requests.size(); }
    // Whether every answer has been handed over whole and no connection is open.
    bool isIdle() const;

private:
    class Request;
    friend class Request;

    void onRequest(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);
    void refuse(HttpResponder &responder, Reason reason, const RoutedRequestHead &head, std::string detail);
    void serveWaiting();
    // Whether requests for the model wait for room already.
    bool isQueued(const ServiceId &service, const ModelId &model) const;
    void tellOthers(const EndpointId &endpoint, TokenCount prompt);
    RetryBudget &budgetOf(const ServiceId &service);
    double draw();

    boost::asio::io_context &m_loop;
    GatewaySettings m_settings;
    TimerService &m_timers;
    Metrics &m_metrics;
    RequestDialect m_dialect;
    ConnectionPool m_pool;
    EndpointChooser m_chooser;
    std::unique_ptr<HttpServer> m_server;
    std::shared_ptr<const Deployment> m_deployment;
    EndpointsById m_endpoints;
    TimePoint m_directoryAt;
    std::map<std::uint64_t, std::shared_ptr<Request>> m_requests;
    std::uint64_t m_lastRequest = 0;
    bool m_isStopping = false;
    std::map<ServiceId, RetryBudget> m_budgets;
    FiguresByTarget m_figures;
    boost::random::mt19937_64 m_random;
};

} // namespace Hemlockhill
