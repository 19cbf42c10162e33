// Charging requests against the quotas of workspaces, and deciding on the shares that this node owns.
#include "hemlockhill/gateway_quota.h"

#include "gateway_request.h"
#include "hemlockhill/log.h"
#include "hemlockhill/overloaded.h"

#include <array>
#include <string_view>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Interval at which pending charges are checked for timeouts, a fraction of the time that an owner has for its reply.
constexpr Duration TickPeriod = std::chrono::milliseconds(10);
// Callers are told times in hundredths of a second. Rounded down, one that comes back in time would be refused again.
constexpr Duration RetryAfterUnit = std::chrono::milliseconds(10);
constexpr std::array<std::string_view, SharesOfWorkspace> ShareNames{"0", "1"};

Duration roundedUp(Duration duration)
{
    return (duration + RetryAfterUnit - Duration(1)) / RetryAfterUnit * RetryAfterUnit;
}

} // namespace

std::uint64_t quotaCost(const Workspace &workspace, const std::optional<TokenCount> &declaredTokens)
{
    return workspace.quota && workspace.quota->unit == QuotaUnit::Tokens ? declaredTokens.value_or(workspace.undeclaredTokens).value : 1;
}

GatewayQuota::GatewayQuota(boost::asio::io_context &loop, TimerService &timers, Metrics &metrics, VmId self, std::uint64_t seed)
    : m_loop(loop)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_self(std::move(self))
    , m_process{seed}
    , m_owner(QuotaOwnerLimits{})
    , m_client(QuotaClientLimits{}, seed)
{
}

void GatewayQuota::setDeployment(const Deployment &deployment)
{
    m_hasLimits = false;
    for (const auto &[id, workspace] : deployment.workspaces) {
        m_hasLimits = m_hasLimits || workspace.quota.has_value();
    }
    m_owner.setWorkspaces(deployment.workspaces, BootClock::now());
}

std::optional<QuotaClaim> GatewayQuota::claim() const
{
    if (!m_hasLimits) {
        return std::nullopt;
    }
    return QuotaClaim{m_process, m_owner.held(BootClock::now()), m_owner.isLeaving(), m_client.table()};
}

void GatewayQuota::onLeases(const QuotaClaim &claim, const QuotaLeases &leases, BootTimePoint sentAt)
{
    const BootTimePoint now = BootClock::now();
    m_owner.onLeases(claim.held, leases, sentAt, now);
    m_client.onTable(leases);
    const std::size_t held = m_owner.held(now).count();
    if (std::exchange(m_heldShards, held) != held) {
        m_metrics.setGauge("quota_shards_held", static_cast<double>(held));
        logEvent(Severity::Info, "shards of quotas held", {{"shards", held}});
    }
}

void GatewayQuota::leave()
{
    m_owner.leave();
    m_metrics.setGauge("quota_shards_held", 0);
}

void GatewayQuota::onMessage(const VmId &from, const QuotaMessage &message)
{
    std::visit(Overloaded{
                   [&](const QuotaQuery &query) {
                       const QuotaReply reply = decide(from, query);
                       if (send) {
                           send(from, reply);
                       }
                   },
                   [&](const QuotaReply &reply) {
                       m_client.onReply(from, reply, currentTime());
                       performActions();
                   },
                   [&](const QuotaReturn &returned) { onReturn(from, returned); },
               },
               message);
}

QuotaReply GatewayQuota::decide(const VmId &from, const QuotaQuery &query)
{
    const BootTimePoint now = BootClock::now();
    const QuotaReply reply = m_owner.decide(from, query, now);
    if (reply.verdict == QuotaVerdict::NotOwner) {
        m_metrics.countEvent("quota_query_not_owned");
        return reply;
    }
    m_metrics.countQuotaUnits(query.workspace, reply.verdict == QuotaVerdict::Granted ? "granted" : "refused", query.cost);
    if (const auto fill = m_owner.fillOf(query.workspace, query.share, now)) {
        m_metrics.setQuotaFill(query.workspace, ShareNames.at(query.share.value), *fill);
    }
    return reply;
}

void GatewayQuota::onReturn(const VmId &from, const QuotaReturn &message)
{
    if (const auto returned = m_owner.giveBack(from, message, BootClock::now())) {
        m_metrics.countQuotaUnits(returned->workspace, "returned", returned->cost);
    } else {
        m_metrics.countEvent("quota_return_unknown");
    }
}

void GatewayQuota::charge(ChargeNumber number, const WorkspaceId &workspace, std::uint64_t cost, Decided decided)
{
    m_charges.emplace(number, std::move(decided));
    m_client.start(number, workspace, cost, currentTime());
    performActions();
    scheduleTick();
}

void GatewayQuota::cancel(ChargeNumber number)
{
    if (m_charges.erase(number) > 0) {
        m_client.cancel(number, currentTime());
    }
}

void GatewayQuota::giveBack(const QuotaGrant &grant)
{
    perform(SendQuotaReturn{grant.owner, {grant.query}});
}

// What is performed may lead to further actions, which the outermost call performs too.
void GatewayQuota::performActions()
{
    if (std::exchange(m_isPerforming, true)) {
        return;
    }
    for (auto actions = m_client.takeActions(); !actions.empty(); actions = m_client.takeActions()) {
        for (const QuotaAction &action : actions) {
            std::visit([this](const auto &due) { perform(due); }, action);
        }
    }
    m_isPerforming = false;
}

void GatewayQuota::perform(const SendQuotaQuery &action)
{
    if (action.to == m_self) {
        m_client.onReply(m_self, decide(m_self, action.query), currentTime());
    } else if (send) {
        send(action.to, action.query);
    }
}

void GatewayQuota::perform(const SendQuotaReturn &action)
{
    if (action.to == m_self) {
        onReturn(m_self, action.message);
    } else if (send) {
        send(action.to, action.message);
    }
}

void GatewayQuota::perform(const QuotaDecision &decision)
{
    const auto charge = m_charges.extract(decision.charge);
    if (!charge.empty()) {
        charge.mapped()(decision);
    } else if (decision.outcome == QuotaOutcome::Granted) {
        giveBack(decision.grant);
    }
}

void GatewayQuota::scheduleTick()
{
    if (m_client.pending() == 0 || std::exchange(m_tickScheduled, true)) {
        return;
    }
    m_timers.after(TickPeriod, m_loop, [this] {
        m_tickScheduled = false;
        m_client.tick(currentTime());
        performActions();
        scheduleTick();
    });
}

bool Gateway::Request::needsQuota() const
{
    return m_workspace != nullptr && m_workspace->quota && !m_route.isPublic && quotaCost(*m_workspace, m_head.declaredTokens) > 0;
}

void Gateway::Request::charge()
{
    const std::uint64_t cost = quotaCost(*m_workspace, m_head.declaredTokens);
    m_gateway.m_quota.charge(ChargeNumber{m_number}, m_workspace->id, cost, [weak = weak_from_this()](const QuotaDecision &decision) {
        if (const auto self = weak.lock()) {
            self->onCharged(decision);
        }
    });
}

void Gateway::Request::onCharged(const QuotaDecision &decision)
{
    if (decision.outcome == QuotaOutcome::Granted) {
        m_quotaGrant = decision.grant;
    }
    if (m_done) {
        giveBackUnits();
        return;
    }
    switch (decision.outcome) {
    case QuotaOutcome::Granted:
        begin();
        return;
    case QuotaOutcome::Exceeded:
        refuse(*m_history.neverRan(), Reason::QuotaExceeded, "the workspace has used up its limit", roundedUp(decision.retryAfter));
        return;
    case QuotaOutcome::Unknown:
        refuse(
            *m_history.neverRan(), Reason::QuotaUnknown, "no owner has told in time whether there is room", roundedUp(decision.retryAfter));
        return;
    }
}

void Gateway::Request::giveBackUnits()
{
    m_gateway.m_quota.cancel(ChargeNumber{m_number});
    if (m_quotaGrant && m_history.neverRan()) {
        m_gateway.m_quota.giveBack(*m_quotaGrant);
    }
    m_quotaGrant.reset();
}

} // namespace Hemlockhill
