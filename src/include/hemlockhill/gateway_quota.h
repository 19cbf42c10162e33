// The part of an entry in the quotas of workspaces: it charges the requests that arrive here, and decides on the shares that it owns.
#pragma once

#include "hemlockhill/deployment.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/quota_client.h"
#include "hemlockhill/quota_messages.h"
#include "hemlockhill/quota_owner.h"
#include "hemlockhill/timer_service.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Hemlockhill
{

// All members must be called on the given event loop.
class GatewayQuota
{
public:
    using Decided = std::function<void(const QuotaDecision &decision)>;

    GatewayQuota(boost::asio::io_context &loop, TimerService &timers, Metrics &metrics, VmId self, std::uint64_t seed);

    // Called to send a message to another node.
    std::function<void(const VmId &to, const QuotaMessage &message)> send;
    // Another node has sent a message.
    void onMessage(const VmId &from, const QuotaMessage &message);

    void setDeployment(const Deployment &deployment);
    // What this entry tells the leader; empty if no workspace is limited.
    std::optional<QuotaClaim> claim() const;
    // The leader has answered a claim that was sent at the given time.
    void onLeases(const QuotaClaim &claim, const QuotaLeases &leases, BootTimePoint sentAt);
    // Grants nothing more to other requests. From now on the claim gives up the shards. Requests that arrive here are still charged.
    void leave();

    // Asks for the units of a request. `decided` is called once, perhaps before the function returns, unless the charge is cancelled.
    void charge(ChargeNumber number, const WorkspaceId &workspace, std::uint64_t cost, Decided decided);
    // The request has ended before the decision.
    void cancel(ChargeNumber number);
    // The request has not run.
    void giveBack(const QuotaGrant &grant);

private:
    QuotaReply decide(const VmId &from, const QuotaQuery &query);
    void onReturn(const VmId &from, const QuotaReturn &message);
    // Does what the client has due.
    void performActions();
    void perform(const SendQuotaQuery &action);
    void perform(const SendQuotaReturn &action);
    void perform(const QuotaDecision &decision);
    // Checks for timeouts after a while, for as long as charges are pending.
    void scheduleTick();

    boost::asio::io_context &m_loop;
    TimerService &m_timers;
    Metrics &m_metrics;
    VmId m_self;
    ProcessId m_process;
    QuotaOwner m_owner;
    QuotaClient m_client;
    bool m_hasLimits = false;
    std::map<ChargeNumber, Decided> m_charges;
    bool m_isPerforming = false;
    bool m_tickScheduled = false;
    // Whether this node held shards when it last heard of its leases, for the log.
    std::size_t m_heldShards = 0;
};

// Cost of a request in the unit of the quota.
std::uint64_t quotaCost(const Workspace &workspace, const std::optional<TokenCount> &declaredTokens);

} // namespace Hemlockhill
