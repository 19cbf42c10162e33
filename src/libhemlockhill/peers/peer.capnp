# What the nodes of one region say to each other.
@0x884ad2b3335dc327;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Hemlockhill::Wire");

const protocolVersion :UInt32 = 1;

struct LogEntry {
  term @0 :UInt64;
  index @1 :UInt64;
  kind @2 :UInt8;
  payload @3 :Data;
}

struct VoterMembership {
  voters @0 :List(Text);
  learners @1 :List(Text);
}

struct PreVoteRequest {
  term @0 :UInt64;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
}

struct PreVoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
}

struct VoteRequest {
  term @0 :UInt64;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
  leadershipTransfer @3 :Bool;
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
}

struct AppendRequest {
  term @0 :UInt64;
  previousIndex @1 :UInt64;
  previousTerm @2 :UInt64;
  commitIndex @3 :UInt64;
  entries @4 :List(LogEntry);
  # Microseconds on the sender's monotonic clock; the reply carries it back.
  sentAtUs @5 :Int64;
}

struct AppendReply {
  term @0 :UInt64;
  accepted @1 :Bool;
  previousIndex @2 :UInt64;
  index @3 :UInt64;
  sentAtUs @4 :Int64;
}

struct SnapshotRequest {
  term @0 :UInt64;
  index @1 :UInt64;
  snapshotTerm @2 :UInt64;
  membership @3 :VoterMembership;
  offset @4 :UInt64;
  bytes @5 :Data;
  last @6 :Bool;
}

struct SnapshotReply {
  term @0 :UInt64;
  index @1 :UInt64;
  nextOffset @2 :UInt64;
  installed @3 :Bool;
}

struct TimeoutNow {
  term @0 :UInt64;
}

struct Envelope {
  from @0 :Text;
  to @1 :Text;
  union {
    preVoteRequest @2 :PreVoteRequest;
    preVoteReply @3 :PreVoteReply;
    voteRequest @4 :VoteRequest;
    voteReply @5 :VoteReply;
    appendRequest @6 :AppendRequest;
    appendReply @7 :AppendReply;
    snapshotRequest @8 :SnapshotRequest;
    snapshotReply @9 :SnapshotReply;
    timeoutNow @10 :TimeoutNow;
  }
}

struct IdentityReply {
  # Empty on a VM that is no controller.
  voter @0 :Text;
  # True until the controller has adopted the membership that its group began with.
  blank @1 :Bool;
  initialMembership @2 :VoterMembership;
}

struct FollowRequest {
  # The revision that this node confirms to have in force.
  confirmed @0 :UInt64;
  # The revision and digest of the state that it holds, for the delta.
  known @1 :UInt64;
  digest @2 :UInt64;
  # Figures of the requests it served, as JSON.
  figures @3 :Text;
  # The digest of the record of suspected requests that it holds.
  quarantineDigest @4 :UInt64;
  # The version of the deployment that it has in force, and the revision of the directory of endpoints that it holds.
  deploymentVersion @5 :UInt64;
  directoryRevision @6 :UInt64;
}

struct FollowReply {
  # False when the receiver does not lead, or is not sure that it still does; then only leader is set, if known.
  leading @0 :Bool;
  leader @1 :Text;
  revision @2 :UInt64;
  digest @3 :UInt64;
  # Commands after the known revision, in order; or, when the snapshot is not empty, the whole state instead.
  statements @4 :List(Text);
  snapshot @5 :Text;
  # The digest of the leader's record of suspected requests, and the record when the node's differs.
  quarantineDigest @6 :UInt64;
  quarantine @7 :Text;
  # The deployment's document, packed; empty unless it is newer than the node's.
  deployment @8 :Data;
  # What has changed in the leader's directory of endpoints since the node's revision; empty when nothing has.
  directoryRevision @9 :UInt64;
  directoryChanges @10 :Data;
  # Every controller that the leader knows of.
  controllers @11 :List(Text);
  # The nodes that have followed the leader lately.
  followers @12 :List(Text);
}

struct DispatchNotice {
  # A node has sent a request with a prompt of that size to an endpoint (0: it sent none, one has ended), and has so many there now.
  endpoint @0 :Text;
  promptTokens @1 :UInt64;
  inFlight @2 :UInt32;
}

struct AttestReply {
  granted @0 :Bool;
  revision @1 :UInt64;
  # The whole state when it is later than the asker's.
  snapshot @2 :Text;
}

struct SubmitReply {
  # The outcome as the replicated machine encodes it; empty when the submission was refused.
  outcome @0 :Text;
  # Set when it was refused: the reason's name, what is known of its run, an explanation, and a pause in seconds (0 for none).
  reason @1 :Text;
  ran @2 :Text;
  detail @3 :Text;
  retryAfterS @4 :UInt32;
}

struct QueryReply {
  # The HTTP status and body that the operator is to get.
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Text;
}

interface Peer {
  consensus @0 (envelopes :List(Envelope)) -> ();
  identity @1 () -> (reply :IdentityReply);
  follow @2 (request :FollowRequest) -> (reply :FollowReply);
  # With state, the answer carries the whole state when it is later than the known one.
  attest @3 (known :UInt64, state :Bool) -> (reply :AttestReply);
  submit @4 (payload :Data) -> (reply :SubmitReply);
  # An operator's query that only the leading controller can answer whole.
  query @5 (statement :Text, json :Bool) -> (reply :QueryReply);
}

interface PeerGate {
  # Gives access to the peer. Throws when the cluster or the protocol differs, or the VM is not one of the region's.
  hello @0 (cluster :Text, vm :Text, protocol :UInt32) -> (peer :Peer);
}
