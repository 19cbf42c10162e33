// Conversion of peer messages to and from Cap'n Proto structures.
#include "peer_codec.h"

#include <utility>

namespace Hemlockhill
{

namespace
{

std::string textOf(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

std::string bytesOf(capnp::Data::Reader data)
{
    const auto chars = data.asChars();
    return {chars.begin(), chars.size()};
}

capnp::Data::Reader dataOf(const std::string &bytes)
{
    return kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size());
}

TimePoint timeOf(std::int64_t microseconds)
{
    return TimePoint(Duration(microseconds));
}

std::int64_t microsecondsOf(TimePoint time)
{
    return time.time_since_epoch().count();
}

void write(Wire::LogEntry::Builder builder, const LogEntry &entry)
{
    builder.setTerm(entry.term.value);
    builder.setIndex(entry.index.value);
    builder.setKind(static_cast<std::uint8_t>(entry.kind));
    builder.setPayload(dataOf(entry.payload));
}

LogEntry read(Wire::LogEntry::Reader reader)
{
    if (reader.getKind() > static_cast<std::uint8_t>(EntryKind::Noop)) {
        throw DecodeError("peer message: unknown log entry kind");
    }
    return {Term{reader.getTerm()}, LogIndex{reader.getIndex()}, static_cast<EntryKind>(reader.getKind()), bytesOf(reader.getPayload())};
}

template<typename ListBuilder>
void writeIds(ListBuilder list, const std::set<VoterId> &ids)
{
    unsigned position = 0;
    for (const VoterId &id : ids) {
        list.set(position++, id.value);
    }
}

std::set<VoterId> readIds(capnp::List<capnp::Text>::Reader list)
{
    std::set<VoterId> ids;
    for (const auto id : list) {
        ids.insert(VoterId{textOf(id)});
    }
    return ids;
}

void write(Wire::VoterMembership::Builder builder, const VoterMembership &membership)
{
    writeIds(builder.initVoters(static_cast<unsigned>(membership.voters.size())), membership.voters);
    writeIds(builder.initLearners(static_cast<unsigned>(membership.learners.size())), membership.learners);
}

VoterMembership read(Wire::VoterMembership::Reader reader)
{
    return {readIds(reader.getVoters()), readIds(reader.getLearners())};
}

void writeMessage(Wire::Envelope::Builder envelope, const PreVoteRequest &message)
{
    auto builder = envelope.initPreVoteRequest();
    builder.setTerm(message.term.value);
    builder.setLastIndex(message.lastIndex.value);
    builder.setLastTerm(message.lastTerm.value);
}

void writeMessage(Wire::Envelope::Builder envelope, const PreVoteReply &message)
{
    auto builder = envelope.initPreVoteReply();
    builder.setTerm(message.term.value);
    builder.setGranted(message.granted);
}

void writeMessage(Wire::Envelope::Builder envelope, const VoteRequest &message)
{
    auto builder = envelope.initVoteRequest();
    builder.setTerm(message.term.value);
    builder.setLastIndex(message.lastIndex.value);
    builder.setLastTerm(message.lastTerm.value);
    builder.setLeadershipTransfer(message.leadershipTransfer);
}

void writeMessage(Wire::Envelope::Builder envelope, const VoteReply &message)
{
    auto builder = envelope.initVoteReply();
    builder.setTerm(message.term.value);
    builder.setGranted(message.granted);
}

void writeMessage(Wire::Envelope::Builder envelope, const AppendRequest &message)
{
    auto builder = envelope.initAppendRequest();
    builder.setTerm(message.term.value);
    builder.setPreviousIndex(message.previousIndex.value);
    builder.setPreviousTerm(message.previousTerm.value);
    builder.setCommitIndex(message.commitIndex.value);
    builder.setSentAtUs(microsecondsOf(message.sentAt));
    auto entries = builder.initEntries(static_cast<unsigned>(message.entries.size()));
    for (unsigned position = 0; position < message.entries.size(); ++position) {
        write(entries[position], message.entries[position]);
    }
}

void writeMessage(Wire::Envelope::Builder envelope, const AppendReply &message)
{
    auto builder = envelope.initAppendReply();
    builder.setTerm(message.term.value);
    builder.setAccepted(message.accepted);
    builder.setPreviousIndex(message.previousIndex.value);
    builder.setIndex(message.index.value);
    builder.setSentAtUs(microsecondsOf(message.sentAt));
}

void writeMessage(Wire::Envelope::Builder envelope, const SnapshotRequest &message)
{
    auto builder = envelope.initSnapshotRequest();
    builder.setTerm(message.term.value);
    builder.setIndex(message.index.value);
    builder.setSnapshotTerm(message.snapshotTerm.value);
    write(builder.initMembership(), message.membership);
    builder.setOffset(message.offset);
    builder.setBytes(dataOf(message.bytes));
    builder.setLast(message.last);
}

void writeMessage(Wire::Envelope::Builder envelope, const SnapshotReply &message)
{
    auto builder = envelope.initSnapshotReply();
    builder.setTerm(message.term.value);
    builder.setIndex(message.index.value);
    builder.setNextOffset(message.nextOffset);
    builder.setInstalled(message.installed);
}

void writeMessage(Wire::Envelope::Builder envelope, const TimeoutNow &message)
{
    envelope.initTimeoutNow().setTerm(message.term.value);
}

AppendRequest readMessage(Wire::AppendRequest::Reader reader)
{
    AppendRequest message;
    message.term = Term{reader.getTerm()};
    message.previousIndex = LogIndex{reader.getPreviousIndex()};
    message.previousTerm = Term{reader.getPreviousTerm()};
    message.commitIndex = LogIndex{reader.getCommitIndex()};
    message.sentAt = timeOf(reader.getSentAtUs());
    for (const auto entry : reader.getEntries()) {
        message.entries.push_back(read(entry));
    }
    return message;
}

SnapshotRequest readMessage(Wire::SnapshotRequest::Reader reader)
{
    SnapshotRequest message;
    message.term = Term{reader.getTerm()};
    message.index = LogIndex{reader.getIndex()};
    message.snapshotTerm = Term{reader.getSnapshotTerm()};
    message.membership = read(reader.getMembership());
    message.offset = reader.getOffset();
    message.bytes = bytesOf(reader.getBytes());
    message.last = reader.getLast();
    return message;
}

ConsensusMessage readMessage(Wire::Envelope::Reader reader)
{
    switch (reader.which()) {
    case Wire::Envelope::PRE_VOTE_REQUEST: {
        const auto message = reader.getPreVoteRequest();
        return PreVoteRequest{Term{message.getTerm()}, LogIndex{message.getLastIndex()}, Term{message.getLastTerm()}};
    }
    case Wire::Envelope::PRE_VOTE_REPLY: {
        const auto message = reader.getPreVoteReply();
        return PreVoteReply{Term{message.getTerm()}, message.getGranted()};
    }
    case Wire::Envelope::VOTE_REQUEST: {
        const auto message = reader.getVoteRequest();
        return VoteRequest{
            Term{message.getTerm()}, LogIndex{message.getLastIndex()}, Term{message.getLastTerm()}, message.getLeadershipTransfer()};
    }
    case Wire::Envelope::VOTE_REPLY: {
        const auto message = reader.getVoteReply();
        return VoteReply{Term{message.getTerm()}, message.getGranted()};
    }
    case Wire::Envelope::APPEND_REQUEST:
        return readMessage(reader.getAppendRequest());
    case Wire::Envelope::APPEND_REPLY: {
        const auto message = reader.getAppendReply();
        return AppendReply{Term{message.getTerm()},
                           message.getAccepted(),
                           LogIndex{message.getPreviousIndex()},
                           LogIndex{message.getIndex()},
                           timeOf(message.getSentAtUs())};
    }
    case Wire::Envelope::SNAPSHOT_REQUEST:
        return readMessage(reader.getSnapshotRequest());
    case Wire::Envelope::SNAPSHOT_REPLY: {
        const auto message = reader.getSnapshotReply();
        return SnapshotReply{Term{message.getTerm()}, LogIndex{message.getIndex()}, message.getNextOffset(), message.getInstalled()};
    }
    case Wire::Envelope::TIMEOUT_NOW:
        return TimeoutNow{Term{reader.getTimeoutNow().getTerm()}};
    }
    throw DecodeError("peer message: unknown consensus message type");
}

} // namespace

void write(Wire::Envelope::Builder builder, const Envelope &envelope)
{
    builder.setFrom(envelope.from.value);
    builder.setTo(envelope.to.value);
    std::visit([&builder](const auto &message) { writeMessage(builder, message); }, envelope.message);
}

Envelope read(Wire::Envelope::Reader reader)
{
    return {VoterId{textOf(reader.getFrom())}, VoterId{textOf(reader.getTo())}, readMessage(reader)};
}

void write(Wire::IdentityReply::Builder builder, const IdentityReply &reply)
{
    builder.setVoter(reply.voter.value);
    builder.setBlank(reply.blank);
    write(builder.initInitialMembership(), reply.initialMembership);
    builder.setLeader(reply.leader.value);
    builder.setMayCreateGroup(reply.mayCreateGroup);
}

IdentityReply read(Wire::IdentityReply::Reader reader)
{
    return {VoterId{textOf(reader.getVoter())},
            reader.getBlank(),
            read(reader.getInitialMembership()),
            VmId{textOf(reader.getLeader())},
            reader.getMayCreateGroup()};
}

void write(Wire::LeaveReply::Builder builder, const LeaveReply &reply)
{
    switch (reply.outcome) {
    case LeaveOutcome::NotLeader:
        builder.setOutcome(Wire::LeaveOutcome::NOT_LEADER);
        break;
    case LeaveOutcome::Pending:
        builder.setOutcome(Wire::LeaveOutcome::PENDING);
        break;
    case LeaveOutcome::Removed:
        builder.setOutcome(Wire::LeaveOutcome::REMOVED);
        break;
    case LeaveOutcome::Kept:
        builder.setOutcome(Wire::LeaveOutcome::KEPT);
        break;
    }
}

LeaveReply read(Wire::LeaveReply::Reader reader)
{
    switch (reader.getOutcome()) {
    case Wire::LeaveOutcome::NOT_LEADER:
        return {LeaveOutcome::NotLeader};
    case Wire::LeaveOutcome::PENDING:
        return {LeaveOutcome::Pending};
    case Wire::LeaveOutcome::REMOVED:
        return {LeaveOutcome::Removed};
    case Wire::LeaveOutcome::KEPT:
        return {LeaveOutcome::Kept};
    }
    throw DecodeError("unknown outcome of a leave request");
}

namespace
{

void writeShards(capnp::List<std::uint8_t>::Builder list, const ShardSet &shards)
{
    unsigned position = 0;
    for (std::size_t number = 0; number < ShardCount; ++number) {
        if (shards.test(number)) {
            list.set(position++, static_cast<std::uint8_t>(number));
        }
    }
}

ShardSet readShards(capnp::List<std::uint8_t>::Reader list)
{
    ShardSet shards;
    for (const std::uint8_t number : list) {
        if (number >= ShardNumberLimit) {
            throw DecodeError("peer message: number of a shard out of range");
        }
        if (number < ShardCount) {
            shards.set(number);
        }
    }
    return shards;
}

void write(Wire::QuotaClaim::Builder builder, const QuotaClaim &claim)
{
    builder.setProcess(claim.process.value);
    writeShards(builder.initHeld(static_cast<unsigned>(claim.held.count())), claim.held);
    builder.setLeaving(claim.isLeaving);
    builder.setTable(claim.table.value);
}

QuotaClaim read(Wire::QuotaClaim::Reader reader)
{
    return {ProcessId{reader.getProcess()}, readShards(reader.getHeld()), reader.getLeaving(), ShardTableDigest{reader.getTable()}};
}

void write(Wire::QuotaLeases::Builder builder, const QuotaLeases &leases)
{
    writeShards(builder.initHeld(static_cast<unsigned>(leases.held.count())), leases.held);
    writeShards(builder.initRested(static_cast<unsigned>(leases.rested.count())), leases.rested);
    builder.setTable(leases.table.value);
    auto owners = builder.initOwners(static_cast<unsigned>(leases.owners.size()));
    for (unsigned position = 0; position < leases.owners.size(); ++position) {
        owners.set(position, leases.owners[position].value);
    }
}

QuotaLeases read(Wire::QuotaLeases::Reader reader)
{
    QuotaLeases leases{readShards(reader.getHeld()), readShards(reader.getRested()), ShardTableDigest{reader.getTable()}, {}};
    if (reader.getOwners().size() > ShardNumberLimit) {
        throw DecodeError("peer message: table names too many shards");
    }
    for (const auto owner : reader.getOwners()) {
        leases.owners.push_back(VmId{textOf(owner)});
    }
    return leases;
}

} // namespace

void write(Wire::FollowRequest::Builder builder, const FollowRequest &request)
{
    builder.setConfirmed(request.confirmed.value);
    builder.setKnown(request.known.value);
    builder.setDigest(request.digest.value);
    builder.setFigures(request.figures);
    builder.setQuarantineDigest(request.quarantineDigest.value);
    builder.setDeploymentVersion(request.deployment.value);
    builder.setDirectoryRevision(request.directory.value);
    builder.setFollowersDigest(request.followersDigest.value);
    if (request.quotaClaim) {
        write(builder.initQuotaClaim(), *request.quotaClaim);
    }
}

FollowRequest read(Wire::FollowRequest::Reader reader)
{
    return {Revision{reader.getConfirmed()},
            Revision{reader.getKnown()},
            StateDigest{reader.getDigest()},
            textOf(reader.getFigures()),
            StateDigest{reader.getQuarantineDigest()},
            DeploymentVersion{reader.getDeploymentVersion()},
            DirectoryRevision{reader.getDirectoryRevision()},
            StateDigest{reader.getFollowersDigest()},
            reader.hasQuotaClaim() ? std::optional(read(reader.getQuotaClaim())) : std::nullopt};
}

void write(Wire::FollowReply::Builder builder, const FollowReply &reply)
{
    builder.setLeading(reply.leading);
    builder.setLeader(reply.leader.value);
    builder.setRevision(reply.revision.value);
    builder.setDigest(reply.digest.value);
    auto statements = builder.initStatements(static_cast<unsigned>(reply.statements.size()));
    for (unsigned position = 0; position < reply.statements.size(); ++position) {
        statements.set(position, reply.statements[position]);
    }
    builder.setSnapshot(reply.snapshot);
    builder.setQuarantineDigest(reply.quarantineDigest.value);
    builder.setQuarantine(reply.quarantine);
    builder.setDeployment(dataOf(reply.deployment));
    builder.setDirectoryRevision(reply.directory.value);
    builder.setDirectoryChanges(dataOf(reply.directoryChanges));
    builder.setListingAgeUs(std::chrono::duration_cast<std::chrono::microseconds>(reply.listingAge).count());
    builder.setFollowersDigest(reply.followersDigest.value);
    auto controllers = builder.initControllers(static_cast<unsigned>(reply.controllers.size()));
    for (unsigned position = 0; position < reply.controllers.size(); ++position) {
        controllers.set(position, reply.controllers[position].value);
    }
    auto followers = builder.initFollowers(static_cast<unsigned>(reply.followers.size()));
    for (unsigned position = 0; position < reply.followers.size(); ++position) {
        followers.set(position, reply.followers[position].value);
    }
    if (reply.quotaLeases) {
        write(builder.initQuotaLeases(), *reply.quotaLeases);
    }
}

FollowReply read(Wire::FollowReply::Reader reader)
{
    FollowReply reply;
    reply.leading = reader.getLeading();
    reply.leader = VmId{textOf(reader.getLeader())};
    reply.revision = Revision{reader.getRevision()};
    reply.digest = StateDigest{reader.getDigest()};
    for (const auto statement : reader.getStatements()) {
        reply.statements.push_back(textOf(statement));
    }
    reply.snapshot = textOf(reader.getSnapshot());
    reply.quarantineDigest = StateDigest{reader.getQuarantineDigest()};
    reply.quarantine = textOf(reader.getQuarantine());
    reply.deployment = bytesOf(reader.getDeployment());
    reply.directory = DirectoryRevision{reader.getDirectoryRevision()};
    reply.directoryChanges = bytesOf(reader.getDirectoryChanges());
    reply.listingAge = std::chrono::microseconds(reader.getListingAgeUs());
    reply.followersDigest = StateDigest{reader.getFollowersDigest()};
    for (const auto controller : reader.getControllers()) {
        reply.controllers.push_back(VmId{textOf(controller)});
    }
    for (const auto follower : reader.getFollowers()) {
        reply.followers.push_back(VmId{textOf(follower)});
    }
    if (reader.hasQuotaLeases()) {
        reply.quotaLeases = read(reader.getQuotaLeases());
    }
    return reply;
}

void write(Wire::AttestReply::Builder builder, const AttestReply &reply)
{
    builder.setGranted(reply.attestation.granted);
    builder.setRevision(reply.attestation.revision.value);
    builder.setSnapshot(reply.snapshot);
}

AttestReply read(Wire::AttestReply::Reader reader)
{
    return {{reader.getGranted(), Revision{reader.getRevision()}}, textOf(reader.getSnapshot())};
}

void write(Wire::SubmitReply::Builder builder, const SubmitReply &reply)
{
    if (const auto *outcome = std::get_if<std::string>(&reply.outcome)) {
        builder.setOutcome(*outcome);
        return;
    }
    const auto &refusal = std::get<Refusal>(reply.outcome);
    builder.setReason(std::string(toText(refusal.reason)));
    builder.setRan(std::string(toText(refusal.ran)));
    builder.setDetail(refusal.detail);
    builder.setRetryAfterS(refusal.retryAfter ? static_cast<std::uint32_t>(refusal.retryAfter->count()) : 0);
}

SubmitReply read(Wire::SubmitReply::Reader reader)
{
    if (reader.getReason().size() == 0) {
        return {textOf(reader.getOutcome())};
    }
    const auto reason = parseReason(textOf(reader.getReason()));
    const auto ran = parseRan(textOf(reader.getRan()));
    if (!reason || !ran) {
        throw DecodeError("peer message: unknown refusal reason or execution status");
    }
    Refusal refusal;
    refusal.reason = *reason;
    refusal.ran = *ran;
    refusal.detail = textOf(reader.getDetail());
    if (reader.getRetryAfterS() > 0) {
        refusal.retryAfter = std::chrono::seconds(reader.getRetryAfterS());
    }
    return {refusal};
}

void write(Wire::QueryReply::Builder builder, const QueryReply &reply)
{
    builder.setStatus(static_cast<std::uint16_t>(reply.response.status));
    builder.setContentType(reply.response.contentType);
    builder.setBody(reply.response.body);
}

QueryReply read(Wire::QueryReply::Reader reader)
{
    QueryReply reply;
    reply.response.status = reader.getStatus();
    reply.response.contentType = textOf(reader.getContentType());
    reply.response.body = textOf(reader.getBody());
    return reply;
}

} // namespace Hemlockhill
