// What nodes ask of each other, and the messages between the control duty and the peers' duty that carries it.
#pragma once

#include "hemlockhill/consensus.h"
#include "hemlockhill/deployment.h"
#include "hemlockhill/directory_history.h"
#include "hemlockhill/failure.h"
#include "hemlockhill/http.h"
#include "hemlockhill/serving_lease.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Hemlockhill
{

// Digest of a state at one revision, to notice that two replicas differ.
using StateDigest = Quantity<struct StateDigestTag>;

// Consensus messages. Nothing is answered: replies are messages of their own.
struct ConsensusBatch {
    std::vector<Envelope> envelopes;
};

struct IdentityRequest {
};

// Who a controller is, and whether its group has begun.
struct IdentityReply {
    // Empty on a VM that is no controller.
    VoterId voter;
    bool blank = true;
    VoterMembership initialMembership;
};

// A node reports what it has in force, and asks for what is newer.
struct FollowRequest {
    Revision confirmed;
    Revision known;
    StateDigest digest;
    // Figures of the requests that the node served, as JSON.
    std::string figures;
    // Of the record of suspected requests that the node holds.
    StateDigest quarantineDigest;
    // The deployment that the node has in force.
    DeploymentVersion deployment;
    // Of the directory of endpoints that the node holds.
    DirectoryRevision directory;
};

struct FollowReply {
    // False when the receiver does not lead, or is not sure that it still does.
    bool leading = false;
    // A hint; empty when unknown.
    VmId leader;
    Revision revision;
    StateDigest digest;
    // Commands after the known revision, in order.
    std::vector<std::string> statements;
    // The whole state; then there are no statements.
    std::string snapshot;
    // Of the leader's record of suspected requests, and the record itself when the node's differs.
    StateDigest quarantineDigest;
    std::string quarantine;
    // The deployment's document, packed, when it is newer than the node's.
    std::string deployment;
    // Of the leader's directory of endpoints, and what has changed in it since the node's revision.
    DirectoryRevision directory;
    std::string directoryChanges;
    // Every controller that the leader knows of.
    std::vector<VmId> controllers;
    // The nodes that have followed the leader lately.
    std::vector<VmId> followers;
};

struct AttestRequest {
    Revision known;
    // Asks for the whole state when it is later than the known one.
    bool wantsState = false;
};

struct AttestReply {
    Attestation attestation;
    // The whole state, when it was asked for and is later than the one that the asker knows.
    std::string snapshot;
};

// A command for the replicated state, encoded with its machine's tag.
struct SubmitRequest {
    std::string payload;
};

// The outcome as the machine encodes it, or why there is none. A refusal with Ran::Unknown may yet be carried out.
struct SubmitReply {
    std::variant<std::string, Refusal> outcome;
};

// An operator's query that only the leading controller can answer whole.
struct QueryRequest {
    std::string statement;
    bool json = false;
};

// What the operator is to get.
struct QueryReply {
    HttpResponse response;
};

using PeerRequest = std::variant<ConsensusBatch, IdentityRequest, FollowRequest, AttestRequest, SubmitRequest, QueryRequest>;
using PeerReply = std::variant<IdentityReply, FollowReply, AttestReply, SubmitReply, QueryReply>;

// Identifies a call of this node to another for the life of the process.
using CallId = Quantity<struct CallTag>;
// Identifies a call of another node to this one.
using IncomingId = Quantity<struct IncomingTag>;

// To the peers' duty: call another node.
struct StartCall {
    CallId call;
    VmId to;
    PeerRequest request;
};

// To the peers' duty: answer another node.
struct AnswerCall {
    IncomingId incoming;
    PeerReply reply;
};

// To the peers' duty: calls may go to this VM from now on.
struct AddPeer {
    PeerSettings peer;
};

using PeerThreadMessage = std::variant<StartCall, AnswerCall, AddPeer>;

// From the peers' duty: another node calls. A ConsensusBatch is not to be answered.
struct IncomingCall {
    IncomingId incoming;
    VmId from;
    PeerRequest request;
};

struct PeerCallAnswered {
    CallId call;
    VmId from;
    PeerReply reply;
};

// The other node was not reached, was silent, or refused this node.
struct PeerCallFailed {
    CallId call;
    VmId to;
};

using PeerEvent = std::variant<IncomingCall, PeerCallAnswered, PeerCallFailed>;

} // namespace Hemlockhill
