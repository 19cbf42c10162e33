// Requests and replies between nodes, and the messages between the control thread and the peer thread that transports them.
#pragma once

#include "hemlockhill/consensus.h"
#include "hemlockhill/deployment.h"
#include "hemlockhill/directory_history.h"
#include "hemlockhill/failure.h"
#include "hemlockhill/http.h"
#include "hemlockhill/quota_messages.h"
#include "hemlockhill/serving_lease.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hemlockhill
{

// Digest of a state at one revision, used to detect replicas that differ.
using StateDigest = Quantity<struct StateDigestTag>;

// A one-way batch of consensus messages. Replies are sent as separate messages.
struct ConsensusBatch {
    std::vector<Envelope> envelopes;
};

// Requests the identity of a controller.
struct IdentityRequest {
};

// The identity of a controller, and whether its consensus group has been initialized.
struct IdentityReply {
    // Empty on a VM that is not a controller.
    VoterId voter;
    // True until the controller has adopted the initial membership of its group.
    bool blank = true;
    VoterMembership initialMembership;
    // The leader as far as the controller knows; empty when unknown.
    VmId leader;
    // Whether a blank controller may create the group.
    bool mayCreateGroup = false;
};

// Tells another member that the sender, a controller, is about to stop and may never return, and asks the leader to take away its vote.
struct LeaveRequest {
    VoterId voter;
};

// What becomes of a controller's vote when it stops.
enum class LeaveOutcome : std::uint8_t {
    // The replying controller is not the leader, or cannot confirm that it still is.
    NotLeader,
    // The vote is to be taken away, which is not committed yet.
    Pending,
    // The controller has no vote any more.
    Removed,
    // The controller keeps its vote, because the others could not tolerate the configured number of failures.
    Kept,
};

std::string_view toText(LeaveOutcome outcome);

// Answers a LeaveRequest.
struct LeaveReply {
    LeaveOutcome outcome = LeaveOutcome::NotLeader;
};

// Reports the revisions that a node has applied, and requests newer ones.
struct FollowRequest {
    // The revision that the node confirms to have in force.
    Revision confirmed;
    // Revision and digest of the state that the node holds; the reply contains the changes since then.
    Revision known;
    StateDigest digest;
    // Statistics of the requests that the node served, as JSON.
    std::string figures;
    // Digest of the quarantine record (suspected requests) that the node holds.
    StateDigest quarantineDigest;
    // Version of the deployment that the node has in force.
    DeploymentVersion deployment;
    // Revision of the endpoint directory that the node holds.
    DirectoryRevision directory;
    // Digest of the list of followers that the node holds.
    StateDigest followersDigest;
    // Set if the node's deployment has limited workspaces.
    std::optional<QuotaClaim> quotaClaim = {};
};

// The changes since the revisions named in a FollowRequest.
struct FollowReply {
    // False when the replying controller is not the leader, or cannot confirm that it still is.
    bool leading = false;
    // The presumed leader; empty when unknown.
    VmId leader;
    Revision revision;
    StateDigest digest;
    // Commands after the known revision, in order. Empty when the snapshot is set.
    std::vector<std::string> statements;
    // The complete state, sent in place of the statements; empty otherwise.
    std::string snapshot;
    // Digest of the leader's quarantine record, and the record itself if the node's digest differs.
    StateDigest quarantineDigest;
    std::string quarantine;
    // The packed deployment document, if newer than the node's; empty otherwise.
    std::string deployment;
    // Revision of the leader's endpoint directory, and the changes in it since the node's revision.
    DirectoryRevision directory;
    std::string directoryChanges;
    // Age of the endpoint list that the directory is based on, at the time when the leader received the request. Negative if the list was
    // requested while the leader held the request. The follower adds it to the time since it sent the request, which needs no clocks in
    // common.
    Duration listingAge{0};
    // The members of the leader's group.
    std::vector<VmId> controllers;
    // Digest of the leader's list of followers, the nodes that have recently sent it a FollowRequest, and the list itself if the node's
    // digest differs.
    StateDigest followersDigest;
    std::vector<VmId> followers;
    // Answers the claim of the request, if it has one.
    std::optional<QuotaLeases> quotaLeases;
};

// Requests an attestation from a controller.
struct AttestRequest {
    Revision known;
    // Requests the complete state if it is newer than the known revision.
    bool wantsState = false;
};

// The attestation of a controller.
struct AttestReply {
    Attestation attestation;
    // The complete state, if requested and newer than the requester's revision; empty otherwise.
    std::string snapshot;
};

// A command for a replicated state machine, encoded with the tag of that state machine.
struct SubmitRequest {
    std::string payload;
};

// The outcome as encoded by the state machine, or a refusal. A command refused with Ran::Unknown may still be executed.
struct SubmitReply {
    std::variant<std::string, Refusal> outcome;
};

// An operator's query that only the leader can answer completely.
struct QueryRequest {
    std::string statement;
    bool json = false;
};

// The response to send to the operator.
struct QueryReply {
    HttpResponse response;
};

using PeerRequest = std::variant<ConsensusBatch, IdentityRequest, FollowRequest, AttestRequest, SubmitRequest, QueryRequest, LeaveRequest>;
using PeerReply = std::variant<IdentityReply, FollowReply, AttestReply, SubmitReply, QueryReply, LeaveReply>;

// Identifies an outgoing call; unique within the process.
using CallId = Quantity<struct CallTag>;
// Identifies an incoming call.
using IncomingId = Quantity<struct IncomingTag>;

// To the peer thread: call another node.
struct StartCall {
    CallId call;
    VmId to;
    PeerRequest request;
};

// To the peer thread: reply to an incoming call.
struct AnswerCall {
    IncomingId incoming;
    PeerReply reply;
};

// To the peer thread: enable calls to this VM.
struct AddPeer {
    PeerSettings peer;
};

using PeerThreadMessage = std::variant<StartCall, AnswerCall, AddPeer>;

// From the peer thread: a call from another node. A ConsensusBatch must not be answered.
struct IncomingCall {
    IncomingId incoming;
    VmId from;
    PeerRequest request;
};

// From the peer thread: the reply to an outgoing call.
struct PeerCallAnswered {
    CallId call;
    VmId from;
    PeerReply reply;
};

// From the peer thread: the other node could not be reached, did not reply in time, or refused this node.
struct PeerCallFailed {
    CallId call;
    VmId to;
};

using PeerEvent = std::variant<IncomingCall, PeerCallAnswered, PeerCallFailed>;

} // namespace Hemlockhill
