// A controller's life: beginning a group or joining one, the log, leases and answers.
#include "hemlockhill/controller.h"

#include "hemlockhill/log.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

// How often other controllers are asked who they are.
constexpr Duration IdentityPeriod = std::chrono::milliseconds(300);
// The same while this controller belongs to a group whose members it does not all know.
constexpr Duration DiscoveryPeriod = std::chrono::seconds(1);
// A voter that has been silent for this long is removed from an open group that has voters enough without it.
constexpr Duration SilentVoterTimeout = std::chrono::seconds(6);
// A node that has not followed for this long is no longer named to the others.
constexpr Duration FollowerMemory = std::chrono::seconds(5);
// How long an operator's accepted command may take to be in force everywhere before its sender is told to ask again.
constexpr Duration InForcePatience = std::chrono::seconds(10);
// Applied entries after which the log is replaced by a snapshot.
constexpr std::uint64_t CompactionEntries = 4096;
// A follow request of a node that is up to date is held this part of the lease, so that a change reaches it at once.
constexpr int HoldPartOfLease = 5;
constexpr std::chrono::seconds RetryAfterNoLeader(1);

// A voter's id names its VM, so that the leader knows whose lost folder an old identity was.
constexpr char VoterSeparator = '/';

Refusal submitRefusal(Reason reason, Ran ran, std::string detail)
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.ran = ran;
    refusal.detail = std::move(detail);
    refusal.retryAfter = RetryAfterNoLeader;
    return refusal;
}

ConsensusSettings consensusSettings(const ControlSettings &control, const VoterId &self)
{
    ConsensusSettings settings;
    settings.self = self;
    settings.heartbeat = control.heartbeat;
    settings.electionTimeout = control.electionTimeout;
    return settings;
}

} // namespace

VmId vmOf(const VoterId &voter)
{
    return VmId{voter.value.substr(0, voter.value.find(VoterSeparator))};
}

Controller::Controller(const Settings &settings, Metrics &metrics, ControllerHooks hooks)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_times(leaseTimes(settings.control))
    , m_nodes{settings.vm}
{
    for (const PeerSettings &peer : settings.peers.others) {
        m_nodes.insert(peer.vm);
        if (peer.controller) {
            m_founders.push_back(peer);
        }
    }
    m_mayBegin = settings.control.mayBeginGroup;
}

Controller::~Controller() = default;

VoterId Controller::voterId(const VoterId &folder) const
{
    return VoterId{m_settings.vm.value + VoterSeparator + folder.value};
}

IdentityReply Controller::identity() const
{
    IdentityReply reply;
    reply.voter = m_self;
    reply.blank = !m_initialMembership.has_value();
    reply.initialMembership = m_initialMembership.value_or(VoterMembership{});
    return reply;
}

void Controller::onStorage(StorageEvent event, TimePoint now)
{
    if (auto *opened = std::get_if<StorageOpened>(&event)) {
        m_self = voterId(opened->identity);
        m_restored = std::move(opened->restored);
        m_open = true;
        m_initialMembership = std::move(opened->initialMembership);
        logEvent(Severity::Info, "data folder open", {{"voter", m_self.value}, {"blank", !m_initialMembership.has_value()}});
        if (m_initialMembership) {
            begin(*m_initialMembership, now);
        }
        return;
    }
    if (const auto *synced = std::get_if<StorageSynced>(&event)) {
        if (m_consensus) {
            m_consensus->persisted(synced->mark);
            perform(now);
        }
        return;
    }
    // A voter without its folder takes no part: what it promises next could contradict what it has forgotten. Nor may it ever begin a
    // group, since the one that it belonged to may go on without it.
    m_mayBegin = false;
    m_consensus.reset();
    if (m_leases) {
        m_leases.reset();
        m_directory.reset();
        m_hooks.leadershipChanged(std::nullopt);
    }
    m_open = false;
    m_initialMembership.reset();
    m_state = ReplicatedState();
    m_history = StateHistory();
    refreshQuarantine();
    m_applied = LogIndex{};
    m_compacted = LogIndex{};
    abandonProposals();
}

void Controller::begin(const VoterMembership &membership, TimePoint now)
{
    m_restored.initialMembership = membership;
    const std::uint64_t seed =
        XXH3_64bits(m_self.value.data(), m_self.value.size()) ^ static_cast<std::uint64_t>(now.time_since_epoch().count());
    m_consensus.emplace(consensusSettings(m_settings.control, m_self), std::exchange(m_restored, {}), seed, now);
    perform(now);
}

void Controller::onIdentity(const VmId &from, const IdentityReply &reply, TimePoint now)
{
    m_identities[from] = reply;
    m_identityHeardAt[from] = now;
    if (m_open && !m_initialMembership) {
        considerBeginning(now);
    }
}

// A group begins once, when every controller of the settings is there and none has ever belonged to one. From then on a blank
// controller joins what it finds: as the voter that the group began with, or, after losing its folder, as a learner.
void Controller::considerBeginning(TimePoint now)
{
    VoterMembership everyone{{m_self}, {}};
    bool allBlank = true;
    std::optional<VoterMembership> found;
    for (const auto &[vm, identity] : m_identities) {
        if (!identity.voter.empty() && !identity.blank) {
            found = identity.initialMembership;
        }
    }
    for (const PeerSettings &peer : m_founders) {
        const auto known = m_identities.find(peer.vm);
        const bool answered = known != m_identities.end() && !known->second.voter.empty();
        allBlank = allBlank && answered && known->second.blank;
        if (answered) {
            everyone.voters.insert(known->second.voter);
        }
    }
    const bool isFirst = vmOf(*everyone.voters.begin()) == m_settings.vm;
    if (!found && allBlank && isFirst && m_mayBegin) {
        found = everyone;
        logEvent(Severity::Info, "group of controllers begun", {{"voters", encodeMembership(everyone)}});
    }
    if (!found) {
        return;
    }
    m_initialMembership = found;
    m_hooks.adopt(*found);
    begin(*found, now);
}

void Controller::onConsensus(const ConsensusBatch &batch, TimePoint now)
{
    if (!m_consensus) {
        return;
    }
    for (const Envelope &envelope : batch.envelopes) {
        if (envelope.to == m_self) {
            m_consensus->receive(envelope, now);
        }
    }
    perform(now);
}

void Controller::perform(TimePoint now)
{
    if (!m_consensus) {
        return;
    }
    ConsensusActions actions = m_consensus->takeActions(now);
    while (!actions.empty()) {
        send(std::exchange(actions.messages, {}));
        if (actions.restore) {
            restore(*actions.restore);
        }
        const std::vector<LogEntry> committed = std::exchange(actions.committed, {});
        if (actions.mark) {
            m_hooks.store(std::move(actions));
        }
        for (const LogEntry &entry : committed) {
            apply(entry, now);
        }
        actions = m_consensus->takeActions(now);
    }
    followRole(now);
    compactIfLong();
    answerInForce(now);
}

void Controller::send(std::vector<Envelope> envelopes)
{
    std::map<VmId, ConsensusBatch> batches;
    for (Envelope &envelope : envelopes) {
        batches[vmOf(envelope.to)].envelopes.push_back(std::move(envelope));
    }
    for (auto &[vm, batch] : batches) {
        m_hooks.sendConsensus(vm, std::move(batch));
    }
}

void Controller::restore(const ConsensusSnapshot &snapshot)
{
    m_state = ReplicatedState::restore(snapshot.data);
    m_history.reset(m_state.region());
    m_applied = snapshot.index;
    m_compacted = snapshot.index;
    refreshQuarantine();
    m_hooks.restored();
    logEvent(Severity::Info, "state restored", {{"index", snapshot.index.value}, {"revision", m_history.revision().value}});
}

void Controller::refreshQuarantine()
{
    m_quarantine = m_state.quarantine().size() == 0 ? std::string() : m_state.quarantine().snapshot();
    m_quarantineDigest = StateDigest{m_quarantine.empty() ? 0 : XXH3_64bits(m_quarantine.data(), m_quarantine.size())};
}

void Controller::apply(const LogEntry &entry, TimePoint now)
{
    m_applied = entry.index;
    if (entry.kind != EntryKind::Command) {
        settle(entry, {}, now);
        return;
    }
    const Revision before = m_state.region().state().revision;
    std::string outcome;
    try {
        outcome = m_state.apply(entry.payload);
        const ReplicatedCommand command = decodePayload(entry.payload);
        if (command.machine == ReplicatedMachine::Quarantine) {
            refreshQuarantine();
            answerHeldFollows(now, true);
        }
        if (command.machine == ReplicatedMachine::Deployment) {
            answerHeldFollows(now, true);
        }
        m_hooks.applied(command);
    } catch (const DecodeError &error) {
        // Every replica meets the same entry, and passes over it in the same way.
        logEvent(Severity::Error, "log entry not understood", {{"index", entry.index.value}, {"problem", error.what()}});
        outcome = encode(CommandOutcome(submitRefusal(Reason::MalformedCommand, Ran::No, error.what())));
    }
    if (m_state.region().state().revision != before) {
        const CommandRequest request = decodeCommandRequest(std::string_view(entry.payload).substr(1));
        m_history.accepted(request.command, m_state.region());
        logEvent(Severity::Info, "command accepted", {{"command", entry.payload.substr(1)}, {"revision", m_history.revision().value}});
        answerHeldFollows(now, true);
    }
    settle(entry, outcome, now);
}

// Answers whoever submitted the entry that is now committed at this index.
void Controller::settle(const LogEntry &entry, const std::string &outcome, TimePoint now)
{
    const auto found = m_proposed.find(entry.index);
    if (found == m_proposed.end()) {
        return;
    }
    const Proposed proposed = std::move(found->second);
    m_proposed.erase(found);
    if (proposed.term != entry.term) {
        proposed.answer({submitRefusal(Reason::NoQuorum, Ran::No, "another leader took over before the command was committed")});
        return;
    }
    const bool isRegion = !entry.payload.empty() && entry.payload.front() == static_cast<char>(ReplicatedMachine::Region);
    const CommandOutcome decoded = isRegion ? decodeCommandOutcome(outcome) : CommandOutcome(Refusal{});
    if (const auto *accepted = std::get_if<CommandAccepted>(&decoded)) {
        m_accepted.push_back({accepted->revision, outcome, proposed.answer, now + InForcePatience});
        return;
    }
    proposed.answer({outcome});
}

void Controller::followRole(TimePoint now)
{
    const bool leads = m_consensus->role() == VoterRole::Leader;
    if (leads && !m_leases) {
        m_leases.emplace(m_times, m_nodes, now);
        m_leadsSince = now;
        m_hooks.leadershipChanged(m_consensus->term());
        m_metrics.countEvent("leadership_taken");
        logEvent(Severity::Info, "leadership taken", {{"term", m_consensus->term().value}});
    }
    if (!leads && m_leases) {
        m_leases.reset();
        m_directory.reset();
        m_hooks.leadershipChanged(std::nullopt);
        m_metrics.countEvent("leadership_lost");
        logEvent(Severity::Info, "leadership lost", {{"term", m_consensus->term().value}});
        abandonProposals();
        answerHeldFollows(now, true);
    }
}

// Nobody here will learn what becomes of these commands, so their senders are told at once.
void Controller::abandonProposals()
{
    for (auto &[index, proposed] : std::exchange(m_proposed, {})) {
        proposed.answer({submitRefusal(
            Reason::NoQuorum, Ran::Unknown, "the leader lost its office; send the command again with the same operation id")});
    }
    for (Accepted &accepted : std::exchange(m_accepted, {})) {
        accepted.answer({submitRefusal(Reason::NoQuorum,
                                       Ran::Unknown,
                                       "committed at revision " + std::to_string(accepted.revision.value)
                                           + ", but the leader lost its office before it was in force everywhere")});
    }
}

void Controller::answerInForce(TimePoint now)
{
    std::vector<Accepted> waiting;
    for (Accepted &accepted : std::exchange(m_accepted, {})) {
        if (m_leases && m_leases->inForceEverywhere(accepted.revision, now)) {
            accepted.answer({accepted.outcome});
        } else if (now >= accepted.giveUpAt) {
            accepted.answer(
                {submitRefusal(Reason::NoQuorum,
                               Ran::Yes,
                               "committed at revision " + std::to_string(accepted.revision.value) + ", not yet in force everywhere")});
        } else {
            waiting.push_back(std::move(accepted));
        }
    }
    // An answer may have led to another submission.
    std::move(m_accepted.begin(), m_accepted.end(), std::back_inserter(waiting));
    m_accepted = std::move(waiting);
}

FollowReply Controller::followReply(const FollowRequest &request, TimePoint now) const
{
    if (!leads(now)) {
        FollowReply reply;
        reply.leader = leader();
        return reply;
    }
    FollowReply reply = m_history.answer(request.known, request.digest, m_state.region());
    reply.leader = m_settings.vm;
    reply.quarantineDigest = m_quarantineDigest;
    if (request.quarantineDigest != m_quarantineDigest) {
        reply.quarantine = m_quarantine;
    }
    if (request.deployment < m_state.deployment().current().version) {
        reply.deployment = packedDeployment();
    }
    if (m_directory && request.directory != m_directory->revision()) {
        reply.directory = m_directory->revision();
        reply.directoryChanges = m_directory->changesSince(request.directory);
    }
    reply.controllers = controllers();
    reply.followers = followers(now);
    return reply;
}

const std::string &Controller::packedDeployment() const
{
    const DeploymentDocument &document = m_state.deployment().current();
    if (m_packedVersion != document.version) {
        m_packedVersion = document.version;
        m_packedDeployment = pack(document);
    }
    return m_packedDeployment;
}

void Controller::follow(const VmId &node, const FollowRequest &request, FollowAnswer answer, TimePoint now)
{
    if (!leads(now)) {
        answer(followReply(request, now));
        return;
    }
    m_leases->recordReport(node, request.confirmed, now);
    m_followedAt[node] = now;
    // A node that is up to date but has not confirmed it yet is answered at once too, so that it can confirm.
    const bool isCurrent =
        request.known == m_history.revision() && request.confirmed == m_history.revision() && request.quarantineDigest == m_quarantineDigest
        && (!m_directory || request.directory == m_directory->revision()) && request.deployment >= m_state.deployment().current().version;
    if (isCurrent) {
        m_heldFollows.push_back({node, request, std::move(answer), now + m_times.lease / HoldPartOfLease});
    } else {
        answer(followReply(request, now));
    }
    answerInForce(now);
}

void Controller::answerHeldFollows(TimePoint now, bool all)
{
    std::vector<HeldFollow> held;
    for (HeldFollow &follow : std::exchange(m_heldFollows, {})) {
        if (all || now >= follow.answerAt) {
            follow.answer(followReply(follow.request, now));
        } else {
            held.push_back(std::move(follow));
        }
    }
    std::move(m_heldFollows.begin(), m_heldFollows.end(), std::back_inserter(held));
    m_heldFollows = std::move(held);
}

void Controller::submit(const std::string &payload, SubmitAnswer answer, TimePoint now)
{
    if (!m_consensus) {
        answer({submitRefusal(Reason::NotLeader, Ran::No, "this controller belongs to no group yet")});
        return;
    }
    const auto proposed = m_consensus->propose(payload, now);
    if (const auto *refusal = std::get_if<Refusal>(&proposed)) {
        answer({*refusal});
        return;
    }
    const auto &proposal = std::get<Proposal>(proposed);
    m_proposed[proposal.index] = {proposal.term, std::move(answer)};
    perform(now);
}

void Controller::tick(TimePoint now)
{
    const bool isMember = m_initialMembership.has_value();
    if (now - m_identitiesAskedAt >= (isMember && m_settings.peers.open ? DiscoveryPeriod : IdentityPeriod)) {
        m_identitiesAskedAt = now;
        for (const PeerSettings &peer : m_settings.peers.others) {
            if (asksIdentity(now) && peer.controller) {
                m_hooks.askIdentity(peer.vm);
            }
        }
        if (m_open && !m_initialMembership) {
            considerBeginning(now);
        }
        maintainMembership(now);
    }
    if (m_consensus) {
        m_consensus->tick(now);
        perform(now);
    }
    answerHeldFollows(now, false);
    reportGauges(now);
}

void Controller::addPeer(const PeerSettings &peer)
{
    m_settings.peers.others.push_back(peer);
}

void Controller::publishDirectory(const EndpointsById &endpoints, TimePoint now)
{
    if (!leads(now)) {
        return;
    }
    if (!m_directory) {
        m_directory.emplace(m_consensus->term());
    }
    if (m_directory->update(endpoints)) {
        answerHeldFollows(now, true);
    }
}

// In an open group each controller makes itself known, so that the leader learns of those that are not in its settings.
bool Controller::asksIdentity(TimePoint now) const
{
    return m_open && (!m_initialMembership || leads(now) || m_settings.peers.open);
}

std::vector<VmId> Controller::controllers() const
{
    std::vector<VmId> vms;
    if (m_consensus) {
        for (const VoterId &voter : m_consensus->membership().voters) {
            vms.push_back(vmOf(voter));
        }
    }
    return vms;
}

std::vector<VmId> Controller::followers(TimePoint now) const
{
    std::vector<VmId> vms;
    for (const auto &[vm, followedAt] : m_followedAt) {
        if (now - followedAt < FollowerMemory) {
            vms.push_back(vm);
        }
    }
    return vms;
}

// A voter whose VM is gone for good would weaken the quorum for ever.
std::optional<VoterId> Controller::silentVoter(const VoterMembership &membership, TimePoint now) const
{
    std::optional<VoterId> silent;
    std::size_t heard = 0;
    for (const VoterId &voter : membership.voters) {
        const auto heardAt = m_identityHeardAt.find(vmOf(voter));
        const TimePoint since = std::max(m_leadsSince, heardAt == m_identityHeardAt.end() ? TimePoint{} : heardAt->second);
        if (voter != m_self && now - since >= SilentVoterTimeout) {
            silent = voter;
        } else {
            ++heard;
        }
    }
    const std::size_t fewest = 2 * m_settings.control.losses + 1;
    return m_settings.peers.open && heard >= fewest ? silent : std::nullopt;
}

void Controller::reportGauges(TimePoint now)
{
    if (!m_consensus) {
        return;
    }
    m_metrics.setGauge("leads", leads(now) ? 1 : 0);
    m_metrics.setGauge("term", static_cast<double>(m_consensus->term().value));
    m_metrics.setGauge("commit_index", static_cast<double>(m_consensus->commitIndex().value));
    m_metrics.setGauge("voters", static_cast<double>(m_consensus->membership().voters.size()));
    m_metrics.setGauge("learners", static_cast<double>(m_consensus->membership().learners.size()));
}

// The group repairs itself: a controller that came back with a new folder learns the log, votes once it has caught up, and only then
// is its lost identity removed.
void Controller::maintainMembership(TimePoint now)
{
    if (!leads(now)) {
        return;
    }
    const VoterMembership membership = m_consensus->membership();
    std::map<VmId, IdentityReply> identities = m_identities;
    identities[m_settings.vm] = identity();
    for (const auto &[vm, identity] : identities) {
        const auto heardAt = m_identityHeardAt.find(vm);
        const bool isStale = heardAt != m_identityHeardAt.end() && now - heardAt->second >= SilentVoterTimeout;
        if (identity.voter.empty() || identity.blank || isStale) {
            continue;
        }
        const auto isForgotten = [&vm = vm, &identity = identity](const VoterId &id) { return vmOf(id) == vm && id != identity.voter; };
        const auto lostLearner = std::find_if(membership.learners.begin(), membership.learners.end(), isForgotten);
        if (lostLearner != membership.learners.end()) {
            changeMembership(MembershipChangeKind::Remove, *lostLearner, now);
            return;
        }
        if (!membership.voters.contains(identity.voter) && !membership.learners.contains(identity.voter)) {
            changeMembership(MembershipChangeKind::AddLearner, identity.voter, now);
            return;
        }
        if (membership.learners.contains(identity.voter)) {
            if (m_consensus->caughtUp(identity.voter, now)) {
                changeMembership(MembershipChangeKind::PromoteLearner, identity.voter, now);
            }
            return;
        }
        const auto lostVoter = std::find_if(membership.voters.begin(), membership.voters.end(), isForgotten);
        if (lostVoter != membership.voters.end()) {
            changeMembership(MembershipChangeKind::Remove, *lostVoter, now);
            return;
        }
    }
    if (const auto silent = silentVoter(membership, now)) {
        changeMembership(MembershipChangeKind::Remove, *silent, now);
    }
}

void Controller::changeMembership(MembershipChangeKind kind, const VoterId &voter, TimePoint now)
{
    const auto proposed = m_consensus->proposeMembership(MembershipChange{kind, voter}, now);
    if (std::holds_alternative<Refusal>(proposed)) {
        return;
    }
    m_metrics.countEvent("membership_change");
    logEvent(Severity::Info, "membership change proposed", {{"kind", static_cast<int>(kind)}, {"voter", voter.value}});
    perform(now);
}

bool Controller::resign(TimePoint now)
{
    if (!m_consensus || m_consensus->role() != VoterRole::Leader) {
        return true;
    }
    const bool handedOver = m_consensus->transferLeadership(now);
    perform(now);
    return !handedOver;
}

bool Controller::leads(TimePoint now) const
{
    return m_consensus && m_leases && m_consensus->leaseHeld(now);
}

VmId Controller::leader() const
{
    const auto voter = m_consensus ? m_consensus->leader() : std::nullopt;
    return voter ? vmOf(*voter) : VmId{};
}

void Controller::compactIfLong()
{
    if (m_applied.value < m_compacted.value + CompactionEntries) {
        return;
    }
    m_compacted = m_applied;
    m_consensus->compact(m_applied, m_state.snapshot());
}

} // namespace Hemlockhill
