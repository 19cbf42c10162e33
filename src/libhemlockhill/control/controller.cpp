// Controller: creating or joining a group, applying the log, serving leases, and answering followers and submitters.
#include "hemlockhill/controller.h"

#include "hemlockhill/log.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Interval of identity requests to other controllers.
constexpr Duration IdentityPeriod = std::chrono::milliseconds(300);
// Interval of identity requests of a voter of an open group, which may have members that this controller does not know.
constexpr Duration DiscoveryPeriod = std::chrono::seconds(1);
// Interval at which a controller that is about to stop asks for the removal of its vote.
constexpr Duration LeaveRequestInterval = std::chrono::milliseconds(100);
// A controller that is neither a seed nor a member is not asked for its identity any more after this time.
constexpr Duration ControllerRetention = std::chrono::seconds(60);
// A node without a follow request for this time is no longer listed as a follower.
constexpr Duration FollowerTimeout = std::chrono::seconds(5);
// Time within which an accepted operator command must be in force on every node; otherwise it is answered as NoQuorum.
constexpr Duration InForceTimeout = std::chrono::seconds(10);
// Number of applied entries after which the log is replaced by a snapshot, and their size in bytes, if the snapshot is not larger.
constexpr std::uint64_t CompactionEntries = 4096;
constexpr std::size_t CompactionBytes = 1U << 20U;
// Maximum size of a message with entries of the log or a part of a snapshot, unless a single entry is larger. A link of 1 Mbit/s
// transports it within the timeout of a call, so that a controller behind a slow link makes progress with each message.
constexpr std::size_t MessageBytes = 64U << 10U;
// A follow request of an up-to-date node is held for a fifth of the lease, so that a change is pushed to the node immediately.
constexpr int FollowHoldLeaseDivisor = 5;
constexpr std::chrono::seconds RetryAfterWithoutLeader(1);
// How long a read waits until it is confirmed that this controller leads. Callers ask another controller after a second.
constexpr Duration ReadConfirmationTimeout = std::chrono::milliseconds(500);
// Age, as a ratio of the election timeout, up to which a controller's word that it belongs to no group is relied on. Less than 1, since
// clocks may run at different rates.
constexpr double BlankIdentityRatio = 0.8;

Refusal submitRefusal(Reason reason, Ran ran, std::string detail)
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.ran = ran;
    refusal.detail = std::move(detail);
    refusal.retryAfter = RetryAfterWithoutLeader;
    return refusal;
}

ConsensusSettings consensusSettings(const ControlSettings &control, const VoterId &self)
{
    ConsensusSettings settings;
    settings.self = self;
    settings.heartbeat = control.heartbeat;
    settings.electionTimeout = control.electionTimeout;
    settings.maxBatchBytes = MessageBytes;
    settings.snapshotChunkBytes = MessageBytes;
    return settings;
}

} // namespace

std::optional<std::set<VmId>> foundersOf(const Settings &settings)
{
    if (!settings.control.mayCreateGroup) {
        return std::nullopt;
    }
    std::set<VmId> founders{settings.vm};
    for (const PeerSettings &peer : settings.peers.others) {
        if (peer.controller) {
            founders.insert(peer.vm);
        }
    }
    return founders;
}

Controller::Controller(const Settings &settings, Metrics &metrics, ControllerHooks hooks)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_times(leaseTimes(settings.control))
    , m_nodes{settings.vm}
    , m_repair(settings)
{
    for (const PeerSettings &peer : settings.peers.others) {
        m_nodes.insert(peer.vm);
        if (peer.controller) {
            m_seeds.push_back(peer);
        }
    }
}

Controller::~Controller() = default;

IdentityReply Controller::identity() const
{
    IdentityReply reply;
    reply.leader = leader();
    // A member that is about to stop must not be added again, and only an open folder tells whether its controller belongs to a group.
    if (m_leaving || !m_open) {
        return reply;
    }
    reply.voter = m_self;
    reply.blank = !m_initialMembership.has_value();
    reply.initialMembership = m_initialMembership.value_or(VoterMembership{});
    reply.mayCreateGroup = m_founders.has_value();
    return reply;
}

void Controller::onStorage(StorageEvent event, TimePoint now)
{
    if (auto *opened = std::get_if<StorageOpened>(&event)) {
        m_self = voterIdOf(m_settings.vm, opened->identity);
        m_restored = std::move(opened->restored);
        m_open = true;
        m_opening = opened->opening;
        m_initialMembership = std::move(opened->initialMembership);
        m_founders = std::move(opened->founders);
        logEvent(Severity::Info,
                 "data folder opened",
                 {{"voter", m_self.value}, {"blank", !m_initialMembership.has_value()}, {"opening", m_opening.value}});
        if (m_initialMembership) {
            startConsensus(*m_initialMembership, now);
        }
        return;
    }
    if (const auto *synced = std::get_if<StorageSynced>(&event)) {
        if (m_consensus && synced->opening == m_opening) {
            m_consensus->persisted(synced->mark);
            executeActions(now);
        }
        return;
    }
    // Without its folder a voter must not vote or acknowledge entries, since that could contradict votes and entries that it lost. It must
    // not create a group either, because its previous group may still exist; the folder says so when it is open again.
    m_founders.reset();
    m_consensus.reset();
    if (m_leases) {
        m_leases.reset();
        m_quotaShards.reset();
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
    m_appliedBytes = 0;
    m_snapshotBytes = 0;
    m_announcedDeployment = DeploymentVersion{};
    abandonProposals();
    answerReads(now);
}

void Controller::startConsensus(const VoterMembership &membership, TimePoint now)
{
    m_restored.initialMembership = membership;
    const std::uint64_t seed =
        XXH3_64bits(m_self.value.data(), m_self.value.size()) ^ static_cast<std::uint64_t>(now.time_since_epoch().count());
    m_consensus.emplace(consensusSettings(m_settings.control, m_self), std::exchange(m_restored, {}), seed, now);
    logEvent(Severity::Info,
             "consensus started",
             {{"term", m_consensus->term().value},
              {"last_index", m_consensus->lastIndex().value},
              {"membership", encodeMembership(m_consensus->membership())}});
    executeActions(now);
}

void Controller::onIdentity(const VmId &from, const IdentityReply &reply, TimePoint requestedAt, TimePoint now)
{
    m_heardOfAt[from] = now;
    m_repair.onIdentity(from, reply, requestedAt, now);
    if (m_open && !m_initialMembership) {
        tryCreateGroup(now);
    }
    executeActions(now);
}

void Controller::onIdentityRequested(const VmId &from, TimePoint now)
{
    m_heardOfAt[from] = now;
    if (leads(now) && m_repair.isOutdated(from, now)) {
        m_hooks.requestIdentity(from);
    }
}

// A blank controller joins an existing group: as one of its initial voters or, if it lost its folder, as a learner.
void Controller::tryCreateGroup(TimePoint now)
{
    std::optional<VoterMembership> membership = knownInitialMembership();
    if (!membership) {
        membership = newGroup(now);
    }
    if (!membership) {
        return;
    }
    m_initialMembership = membership;
    m_hooks.saveInitialMembership(m_opening, *membership);
    startConsensus(*membership, now);
    // Tells the leader, which asks back, that this controller can be added.
    requestIdentities(now);
}

std::optional<VoterMembership> Controller::knownInitialMembership() const
{
    for (const auto &[vm, identity] : m_repair.identities()) {
        if (!identity.voter.empty() && !identity.blank) {
            return identity.initialMembership;
        }
    }
    return std::nullopt;
}

// The group is created once all founders have just said that none of them belongs to one, by the first of those whose folder dates from the
// first start of the system. A controller that had joined a group in the meantime could not have committed anything:
// it refuses its vote for one election timeout after its start. So a group that was created before, by a controller that has lost its
// process or its disk since, has the same voters or cannot have accepted anything without one of these.
std::optional<VoterMembership> Controller::newGroup(TimePoint now) const
{
    if (!m_founders) {
        return std::nullopt;
    }
    const TimePoint since = now - std::chrono::duration_cast<Duration>(m_settings.control.electionTimeout * BlankIdentityRatio);
    VoterMembership everyone{{m_self}, {}};
    for (const VmId &founder : *m_founders) {
        if (founder == m_settings.vm) {
            continue;
        }
        const IdentityReply *identity = m_repair.identityRequestedSince(founder, since);
        if (identity == nullptr || identity->voter.empty() || !identity->blank) {
            return std::nullopt;
        }
        if (identity->mayCreateGroup && identity->voter < m_self) {
            return std::nullopt;
        }
        everyone.voters.insert(identity->voter);
    }
    logEvent(Severity::Info, "group of controllers created", {{"voters", encodeMembership(everyone)}});
    return everyone;
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
    executeActions(now);
}

void Controller::executeActions(TimePoint now)
{
    if (!m_consensus) {
        return;
    }
    do {
        performActions(now);
        updateLeadership(now);
    } while (repairMembership(now));
    compactIfNeeded();
    answerAcceptedCommands(now);
    serveReads(now);
}

void Controller::performActions(TimePoint now)
{
    ConsensusActions actions = m_consensus->takeActions(now);
    while (!actions.empty()) {
        send(std::exchange(actions.messages, {}));
        if (actions.restore) {
            restore(*actions.restore);
        }
        const std::vector<LogEntry> committed = std::exchange(actions.committed, {});
        if (actions.mark) {
            m_hooks.persist(m_opening, std::move(actions));
        }
        for (const LogEntry &entry : committed) {
            apply(entry, now);
        }
        actions = m_consensus->takeActions(now);
    }
    announceDeployment();
}

// Decoding a document takes long, and a controller that starts applies all documents of its log at once.
void Controller::announceDeployment()
{
    const DeploymentDocument &current = m_state.deployment().current();
    if (current.version != m_announcedDeployment) {
        m_announcedDeployment = current.version;
        m_hooks.deploymentChanged(current);
    }
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
    m_appliedBytes = 0;
    m_snapshotBytes = snapshot.data.size();
    refreshQuarantine();
    m_hooks.restored();
    logEvent(Severity::Info, "state restored from snapshot", {{"index", snapshot.index.value}, {"revision", m_history.revision().value}});
}

void Controller::refreshQuarantine()
{
    m_quarantine = m_state.quarantine().size() == 0 ? std::string() : m_state.quarantine().snapshot();
    m_quarantineDigest = StateDigest{m_quarantine.empty() ? 0 : XXH3_64bits(m_quarantine.data(), m_quarantine.size())};
}

void Controller::apply(const LogEntry &entry, TimePoint now)
{
    m_applied = entry.index;
    m_appliedBytes += entry.payload.size();
    if (entry.kind == EntryKind::Membership) {
        logEvent(Severity::Info, "membership committed", {{"index", entry.index.value}, {"membership", entry.payload}});
    }
    if (entry.kind != EntryKind::Command) {
        completeProposal(entry, {}, now);
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
        // Every replica applies the same entry and skips it in the same way.
        logEvent(Severity::Error, "cannot decode log entry", {{"index", entry.index.value}, {"problem", error.what()}});
        outcome = encode(CommandOutcome(submitRefusal(Reason::MalformedCommand, Ran::No, error.what())));
    }
    if (m_state.region().state().revision != before) {
        const CommandRequest request = decodeCommandRequest(std::string_view(entry.payload).substr(1));
        m_history.recordAccepted(request.command, m_state.region());
        logEvent(Severity::Info, "command accepted", {{"command", entry.payload.substr(1)}, {"revision", m_history.revision().value}});
        answerHeldFollows(now, true);
    }
    completeProposal(entry, outcome, now);
}

// Answers the submitter, if any, of the entry committed at this index.
void Controller::completeProposal(const LogEntry &entry, const std::string &outcome, TimePoint now)
{
    const auto found = m_pendingProposals.find(entry.index);
    if (found == m_pendingProposals.end()) {
        return;
    }
    const PendingProposal proposed = std::move(found->second);
    m_pendingProposals.erase(found);
    if (proposed.term != entry.term) {
        proposed.answer({submitRefusal(Reason::NoQuorum, Ran::No, "another leader was elected before the command was committed")});
        return;
    }
    const bool isRegion = !entry.payload.empty() && entry.payload.front() == static_cast<char>(ReplicatedMachine::Region);
    const CommandOutcome decoded = isRegion ? decodeCommandOutcome(outcome) : CommandOutcome(Refusal{});
    if (const auto *accepted = std::get_if<CommandAccepted>(&decoded)) {
        m_acceptedCommands.push_back({accepted->revision, outcome, proposed.answer, now + InForceTimeout});
        return;
    }
    proposed.answer({outcome});
}

void Controller::updateLeadership(TimePoint now)
{
    const bool leads = m_consensus->role() == VoterRole::Leader;
    if (leads && !m_leases) {
        m_leases.emplace(m_times, m_nodes, now);
        QuotaLeaseTimes quotaTimes;
        quotaTimes.leadership = m_settings.control.electionTimeout;
        m_quotaShards.emplace(quotaTimes, nodeTime(now));
        m_formerQuotaLeasesReviewed = false;
        m_repair.onLeadershipTaken(now);
        m_hooks.leadershipChanged(m_consensus->term());
        m_metrics.countEvent("leadership_taken");
        logEvent(Severity::Info, "leadership taken", {{"term", m_consensus->term().value}});
        requestIdentities(now);
    }
    if (!leads && m_leases) {
        m_leases.reset();
        m_quotaShards.reset();
        m_directory.reset();
        m_hooks.leadershipChanged(std::nullopt);
        m_metrics.countEvent("leadership_lost");
        logEvent(Severity::Info, "leadership lost", {{"term", m_consensus->term().value}});
        abandonProposals();
        answerHeldFollows(now, true);
    }
}

// A controller that no longer leads cannot learn the outcome of these commands, so their submitters are answered immediately.
void Controller::abandonProposals()
{
    for (auto &[index, proposed] : std::exchange(m_pendingProposals, {})) {
        proposed.answer({submitRefusal(
            Reason::NoQuorum, Ran::Unknown, "leadership was lost before the command was committed; retry with the same operation id")});
    }
    for (AcceptedCommand &accepted : std::exchange(m_acceptedCommands, {})) {
        accepted.answer({submitRefusal(Reason::NoQuorum,
                                       Ran::Unknown,
                                       "committed at revision " + std::to_string(accepted.revision.value)
                                           + ", but leadership was lost before the command was in force on every node")});
    }
}

void Controller::answerAcceptedCommands(TimePoint now)
{
    std::vector<AcceptedCommand> waiting;
    for (AcceptedCommand &accepted : std::exchange(m_acceptedCommands, {})) {
        if (m_leases && m_leases->inForceEverywhere(accepted.revision, now)) {
            accepted.answer({accepted.outcome});
        } else if (now >= accepted.deadline) {
            accepted.answer(
                {submitRefusal(Reason::NoQuorum,
                               Ran::Yes,
                               "committed at revision " + std::to_string(accepted.revision.value) + ", not yet in force on every node")});
        } else {
            waiting.push_back(std::move(accepted));
        }
    }
    // The callbacks may have submitted further commands.
    std::move(m_acceptedCommands.begin(), m_acceptedCommands.end(), std::back_inserter(waiting));
    m_acceptedCommands = std::move(waiting);
}

FollowReply Controller::followReply(const VmId &node, const FollowRequest &request, TimePoint receivedAt, TimePoint now)
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
    if (m_directory) {
        reply.directory = m_directory->revision();
        reply.listingAge = receivedAt - m_listedAt;
        if (request.directory != m_directory->revision()) {
            reply.directoryChanges = m_directory->changesSince(request.directory);
        }
    }
    reply.controllers = controllers();
    reply.followersDigest = m_followersDigest;
    if (request.followersDigest != m_followersDigest) {
        reply.followers = m_followers;
    }
    reply.quotaLeases = quotaLeases(node, request, now);
    return reply;
}

std::optional<QuotaLeases> Controller::quotaLeases(const VmId &node, const FollowRequest &request, TimePoint now)
{
    if (!request.quotaClaim) {
        return std::nullopt;
    }
    reviewFormerQuotaLeases(now);
    return m_quotaShards->onClaim(node, *request.quotaClaim, nodeTime(now));
}

NodeTime Controller::nodeTime(TimePoint now) const
{
    return {now, m_hooks.bootTime ? m_hooks.bootTime() : BootTimePoint(now.time_since_epoch())};
}

// Entries claim shards only by a deployment that they have received. Once this controller may answer as the leader, it has applied all
// that former leaders have committed.
void Controller::reviewFormerQuotaLeases(TimePoint now)
{
    if (!leads(now) || std::exchange(m_formerQuotaLeasesReviewed, true)) {
        return;
    }
    if (m_state.deployment().current().version == DeploymentVersion{}) {
        m_quotaShards->onNothingLeasedBefore();
    }
}

const std::string &Controller::packedDeployment() const
{
    const DeploymentDocument &document = m_state.deployment().current();
    if (m_packedVersion != document.version) {
        m_packedVersion = document.version;
        m_packedDeployment = encodeCompressed(document);
    }
    return m_packedDeployment;
}

void Controller::follow(const VmId &node, const FollowRequest &request, FollowAnswer answer, TimePoint now)
{
    if (!leads(now)) {
        answer(followReply(node, request, now, now));
        return;
    }
    if (request.quotaClaim && request.quotaClaim->isLeaving) {
        // Others can be leased its shards while its request is held.
        quotaLeases(node, request, now);
    }
    m_leases->recordReport(node, request.confirmed, now);
    if (m_followedAt.insert_or_assign(node, now).second) {
        updateFollowers(now);
    }
    // A node that has the current state but has not confirmed it is answered immediately, so that it can confirm.
    const bool isCurrent =
        request.known == m_history.revision() && request.confirmed == m_history.revision() && request.quarantineDigest == m_quarantineDigest
        && (!m_directory || request.directory == m_directory->revision()) && request.deployment >= m_state.deployment().current().version;
    if (isCurrent) {
        m_heldFollows.push_back({node, request, std::move(answer), now, now + m_times.lease / FollowHoldLeaseDivisor});
    } else {
        answer(followReply(node, request, now, now));
    }
    answerAcceptedCommands(now);
}

void Controller::answerHeldFollows(TimePoint now, bool all)
{
    std::vector<HeldFollow> held;
    for (HeldFollow &follow : std::exchange(m_heldFollows, {})) {
        if (all || now >= follow.answerAt) {
            follow.answer(followReply(follow.node, follow.request, follow.receivedAt, now));
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
        answer({submitRefusal(Reason::NotLeader, Ran::No, "this controller is not a member of a group")});
        return;
    }
    const auto proposed = m_consensus->propose(payload, now);
    if (const auto *refusal = std::get_if<Refusal>(&proposed)) {
        answer({*refusal});
        return;
    }
    const auto &proposal = std::get<Proposal>(proposed);
    m_pendingProposals[proposal.index] = {proposal.term, std::move(answer)};
    executeActions(now);
}

void Controller::tick(TimePoint now)
{
    const bool isVoter = m_consensus && m_consensus->role() != VoterRole::Learner;
    if (now - m_identitiesRequestedAt >= (isVoter && m_settings.peers.openMembership ? DiscoveryPeriod : IdentityPeriod)) {
        if (shouldRequestIdentities(now)) {
            requestIdentities(now);
        }
        if (m_open && !m_initialMembership) {
            tryCreateGroup(now);
        }
    }
    if (m_consensus) {
        m_consensus->tick(now);
        executeActions(now);
    }
    updateFollowers(now);
    reviewFormerQuotaLeases(now);
    answerHeldFollows(now, false);
    answerReads(now);
    reportGauges(now);
}

void Controller::addPeer(const PeerSettings &peer)
{
    m_settings.peers.others.push_back(peer);
}

void Controller::publishDirectory(const EndpointsById &endpoints, TimePoint listedAt, TimePoint now)
{
    if (!leads(now)) {
        return;
    }
    if (!m_directory) {
        m_directory.emplace(m_consensus->term());
    }
    m_listedAt = listedAt;
    if (m_directory->update(endpoints)) {
        answerHeldFollows(now, true);
    }
}

// In an open group every controller sends identity requests, so that the leader discovers controllers that are not in its settings.
bool Controller::shouldRequestIdentities(TimePoint now) const
{
    return m_open && (!m_initialMembership || leads(now) || m_settings.peers.openMembership);
}

void Controller::requestIdentities(TimePoint now)
{
    m_identitiesRequestedAt = now;
    for (const PeerSettings &peer : m_settings.peers.others) {
        if (!peer.controller) {
            continue;
        }
        m_heardOfAt.try_emplace(peer.vm, now);
        if (!isForgotten(peer.vm, now)) {
            m_hooks.requestIdentity(peer.vm);
        }
    }
    // The settings may name other seeds than at the first start.
    if (m_founders && !m_initialMembership) {
        for (const VmId &founder : *m_founders) {
            if (founder != m_settings.vm && !m_heardOfAt.contains(founder)) {
                m_hooks.requestIdentity(founder);
            }
        }
    }
}

// Controllers that were replaced must not be asked for ever. One that returns asks this controller, and is asked again.
bool Controller::isForgotten(const VmId &vm, TimePoint now) const
{
    const auto isSame = [&vm](const PeerSettings &peer) { return peer.vm == vm; };
    const bool isSeed = std::any_of(m_seeds.begin(), m_seeds.end(), isSame);
    const std::vector<VmId> members = controllers();
    const bool isMember = std::find(members.begin(), members.end(), vm) != members.end();
    return !isSeed && !isMember && now - m_heardOfAt.at(vm) >= ControllerRetention;
}

std::vector<VmId> Controller::controllers() const
{
    std::vector<VmId> vms;
    if (m_consensus) {
        for (const std::set<VoterId> *members : {&m_consensus->membership().voters, &m_consensus->membership().learners}) {
            for (const VoterId &member : *members) {
                vms.push_back(vmOf(member));
            }
        }
    }
    return vms;
}

void Controller::updateFollowers(TimePoint now)
{
    std::erase_if(m_followedAt, [now](const auto &entry) { return now - entry.second >= FollowerTimeout; });
    std::vector<VmId> followers;
    std::string names;
    for (const auto &[vm, followedAt] : m_followedAt) {
        followers.push_back(vm);
        names += vm.value + '\n';
    }
    m_followers = std::move(followers);
    m_followersDigest = StateDigest{XXH3_64bits(names.data(), names.size())};
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

bool Controller::repairMembership(TimePoint now)
{
    if (!leads(now)) {
        return false;
    }
    for (const MembershipChange &change : m_repair.changes(*m_consensus, now)) {
        const auto proposed = m_consensus->proposeMembership(change, now);
        if (std::holds_alternative<Proposal>(proposed)) {
            m_metrics.countEvent("membership_change");
            logEvent(Severity::Info, "membership change proposed", {{"kind", toText(change.kind)}, {"voter", change.voter.value}});
            return true;
        }
    }
    return false;
}

bool Controller::resign(TimePoint now)
{
    if (!m_consensus || m_consensus->role() != VoterRole::Leader) {
        return true;
    }
    const bool handedOver = m_consensus->transferLeadership(now, m_repair.leaving(now));
    executeActions(now);
    return !handedOver;
}

bool Controller::leave(TimePoint now)
{
    m_leaving = true;
    const bool isAnswered = m_leaveOutcome == LeaveOutcome::Removed || m_leaveOutcome == LeaveOutcome::Kept;
    if (!m_consensus || isAnswered) {
        return true;
    }
    if (now - m_leaveRequestedAt >= LeaveRequestInterval) {
        m_leaveRequestedAt = now;
        requestLeave();
    }
    // The other voters of a new leader may not have answered it yet. Without a quorum of them it replaces the lost voters first.
    if (m_consensus->role() == VoterRole::Leader && m_repair.leavesQuorum(*m_consensus, m_self, now)) {
        resign(now);
    }
    return m_consensus->membership().voters.size() == 1;
}

// All members are told, so that none of them chooses this controller as its successor.
void Controller::requestLeave()
{
    for (const VmId &vm : controllers()) {
        if (vm != m_settings.vm) {
            m_hooks.requestLeave(vm, LeaveRequest{m_self});
        }
    }
}

LeaveReply Controller::onLeaveRequested(const LeaveRequest &request, TimePoint now)
{
    m_repair.onLeaving(request.voter, now);
    executeActions(now);
    if (!leads(now)) {
        return {LeaveOutcome::NotLeader};
    }
    const LeaveOutcome outcome = m_repair.leaveOutcome(*m_consensus, request.voter, now);
    logEvent(Severity::Info, "controller is leaving", {{"voter", request.voter.value}, {"outcome", toText(outcome)}});
    return {outcome};
}

void Controller::onLeaveReply(const LeaveReply &reply)
{
    if (m_leaving && reply.outcome != LeaveOutcome::NotLeader) {
        m_leaveOutcome = reply.outcome;
    }
}

bool Controller::leads(TimePoint now) const
{
    return m_consensus && m_leases && m_consensus->leaseHeld(now);
}

void Controller::confirmRead(const ReadAnswer &answer, TimePoint now)
{
    m_pendingReads.push_back({answer, now + ReadConfirmationTimeout, std::nullopt});
    serveReads(now);
}

void Controller::serveReads(TimePoint now)
{
    answerReads(now);
    if (beginReads(now)) {
        // The only voter of a group has no one to ask.
        answerReads(now);
    }
}

void Controller::answerReads(TimePoint now)
{
    std::vector<PendingRead> waiting;
    for (PendingRead &read : std::exchange(m_pendingReads, {})) {
        const std::optional<ReadObstacle> outcome = outcomeOf(read, now);
        if (!outcome) {
            waiting.push_back(std::move(read));
            continue;
        }
        ReadStatus status = readStatus(now);
        status.obstacle = *outcome;
        read.answer(status);
    }
    // The callbacks may have requested further reads.
    std::move(m_pendingReads.begin(), m_pendingReads.end(), std::back_inserter(waiting));
    m_pendingReads = std::move(waiting);
}

// Empty while the outcome is not known yet. A read needs no lease: it is confirmed by the other voters.
std::optional<ReadObstacle> Controller::outcomeOf(const PendingRead &read, TimePoint now) const
{
    const ReadObstacle obstacle = readStatus(now).obstacle;
    const bool leadsCommittedTerm =
        obstacle == ReadObstacle::None || obstacle == ReadObstacle::LeaseExpired || obstacle == ReadObstacle::TransferringLeadership;
    if (!leadsCommittedTerm) {
        return obstacle;
    }
    if (read.mark && m_consensus->isReadConfirmed(*read.mark)) {
        return ReadObstacle::None;
    }
    const bool leadsSinceBegin = !read.mark || read.mark->term == m_consensus->term();
    return leadsSinceBegin && now < read.deadline ? std::nullopt : std::optional(ReadObstacle::LeadershipNotConfirmed);
}

// One round of messages at a time serves all reads that wait, however many callers there are.
bool Controller::beginReads(TimePoint now)
{
    const auto hasBegun = [](const PendingRead &read) { return read.mark.has_value(); };
    if (!m_consensus || m_pendingReads.empty() || std::any_of(m_pendingReads.begin(), m_pendingReads.end(), hasBegun)) {
        return false;
    }
    const std::optional<ReadMark> mark = m_consensus->beginRead(now);
    if (!mark) {
        return false;
    }
    for (PendingRead &read : m_pendingReads) {
        read.mark = mark;
    }
    performActions(now);
    return true;
}

ReadStatus Controller::readStatus(TimePoint now) const
{
    ReadStatus status;
    if (!m_open) {
        status.obstacle = ReadObstacle::FolderNotOpen;
    }
    if (m_consensus) {
        status = readStatusOf(*m_consensus, now);
    }
    status.leader = leader();
    return status;
}

VmId Controller::leader() const
{
    const auto voter = m_consensus ? m_consensus->leader() : std::nullopt;
    return voter ? vmOf(*voter) : VmId{};
}

void Controller::compactIfNeeded()
{
    const bool hasManyEntries = m_applied.value >= m_compacted.value + CompactionEntries;
    const bool hasLargeEntries = m_appliedBytes >= std::max(CompactionBytes, m_snapshotBytes);
    if (!hasManyEntries && !hasLargeEntries) {
        return;
    }
    std::string snapshot = m_state.snapshot();
    m_compacted = m_applied;
    m_appliedBytes = 0;
    m_snapshotBytes = snapshot.size();
    m_consensus->compact(m_applied, std::move(snapshot));
}

} // namespace Hemlockhill
