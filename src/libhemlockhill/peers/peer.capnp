# RPC protocol between the nodes of one region.
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
  # Microseconds on the sender's monotonic clock; returned unchanged in the reply.
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
  # Empty on a VM that is not a controller.
  voter @0 :Text;
  # True until the controller has adopted the initial membership of its group.
  blank @1 :Bool;
  initialMembership @2 :VoterMembership;
  # The leader as far as the controller knows; empty when unknown.
  leader @3 :Text;
  # Whether a blank controller may create the group.
  mayCreateGroup @4 :Bool;
}

# What becomes of a controller's vote when it stops.
enum LeaveOutcome {
  notLeader @0;
  pending @1;
  removed @2;
  kept @3;
}

struct LeaveReply {
  outcome @0 :LeaveOutcome;
}

struct FollowRequest {
  # The revision that this node confirms to have in force.
  confirmed @0 :UInt64;
  # Revision and digest of the state that it holds; the reply contains the changes since then.
  known @1 :UInt64;
  digest @2 :UInt64;
  # Statistics of the requests that it served, as JSON.
  figures @3 :Text;
  # Digest of the quarantine record (suspected requests) that it holds.
  quarantineDigest @4 :UInt64;
  # Version of the deployment that it has in force, and revision of the endpoint directory that it holds.
  deploymentVersion @5 :UInt64;
  directoryRevision @6 :UInt64;
  # Digest of the list of followers that it holds.
  followersDigest @7 :UInt64;
  # Set if its document has workspaces with a limit.
  quotaClaim @8 :QuotaClaim;
}

struct FollowReply {
  # False when the replying controller is not the leader, or cannot confirm that it still is; then only leader is set, if known.
  leading @0 :Bool;
  leader @1 :Text;
  revision @2 :UInt64;
  digest @3 :UInt64;
  # Either the commands after the known revision, in order, or a snapshot of the complete state.
  statements @4 :List(Text);
  snapshot @5 :Text;
  # Digest of the leader's quarantine record, and the record itself if the node's digest differs.
  quarantineDigest @6 :UInt64;
  quarantine @7 :Text;
  # The packed deployment document; empty unless newer than the node's.
  deployment @8 :Data;
  # Revision of the leader's endpoint directory, and the changes in it since the node's revision; empty if there are none.
  directoryRevision @9 :UInt64;
  directoryChanges @10 :Data;
  # All controllers known to the leader.
  controllers @11 :List(Text);
  # Nodes that have recently sent a FollowRequest to the leader; empty if the node's list has the same digest.
  followers @12 :List(Text);
  # Age of the endpoint list that the directory is based on, when the leader received the request: negative if the list was requested later.
  listingAgeUs @13 :Int64;
  # Digest of the leader's list of followers.
  followersDigest @14 :UInt64;
  # Answers a quotaClaim.
  quotaLeases @15 :QuotaLeases;
}

struct QuotaClaim {
  # Identifies this run of the process.
  process @0 :UInt64;
  # Numbers of the shards that it holds.
  held @1 :List(UInt8);
  # It has stopped granting for good, and gives its shards up.
  leaving @2 :Bool;
  # Digest of the table of owners that it knows.
  table @3 :UInt64;
}

struct QuotaLeases {
  # Numbers of the shards that the node holds from now on, and of those for which nobody has granted anything for a window before.
  held @0 :List(UInt8);
  rested @1 :List(UInt8);
  # Digest of the leader's table, and the owner of each shard if the node's table differs; empty if a shard has none.
  table @2 :UInt64;
  owners @3 :List(Text);
}

struct PeerDatagram {
  # A dispatch notice, sent when a node dispatches a request to an endpoint (promptTokens: its prompt length) or when a request ends
  # (promptTokens: 0). inFlight is the number of the node's requests in progress at the endpoint.
  endpoint @0 :Text;
  promptTokens @1 :UInt64;
  inFlight @2 :UInt32;
  # Set in a message about the origin of a stream; the fields above are then empty, which earlier versions take for a notice without effect.
  streamOrigin @3 :StreamOriginMessage;
  # Set in a notice about requests that crash endpoints, likewise.
  crashSuspects @4 :CrashSuspectNotice;
  # Set in a notice about the rate limit of an endpoint, likewise.
  rateLimit @5 :RateLimitNotice;
  # Set in a message about forwarding through another node, likewise.
  forwarding @6 :ForwardingMessage;
  # Set in a dispatch notice if the request that has ended was rejected for want of room.
  rejected @7 :Bool;
  # Set in a question about the load of a service's endpoints, and in the answer, likewise.
  loadQuery @8 :LoadQuery;
  loadReport @9 :LoadReport;
  # In a dispatch notice: tokens that the requests in progress hold and will come to hold. 0 where the memory of endpoints is not bounded,
  # and in notices of earlier versions.
  inFlightTokens @10 :UInt64;
  # Set in a question to the owner of a workspace's share, in the answer, and when units are given back, likewise.
  quotaQuery @11 :QuotaQuery;
  quotaReply @12 :QuotaReply;
  quotaReturn @13 :QuotaReturn;
}

struct QuotaQuery {
  id @0 :UInt64;
  workspace @1 :Text;
  share @2 :UInt8;
  # In the unit of the workspace's quota.
  cost @3 :UInt64;
}

struct QuotaReply {
  id @0 :UInt64;
  verdict @1 :Verdict;
  # Time until there is room, if refused.
  waitMs @2 :UInt32;

  enum Verdict {
    granted @0;
    refused @1;
    notOwner @2;
  }
}

struct QuotaReturn {
  id @0 :UInt64;
}

struct EndpointRequests {
  endpoint @0 :Text;
  requests @1 :UInt32;
  # As inFlightTokens of a notice.
  tokens @2 :UInt64;
}

struct LoadQuery {
  service @0 :Text;
  # Empty for a service without models.
  model @1 :Text;
  # The sender's requests in progress at all endpoints of the service.
  own @2 :List(EndpointRequests);
  # The endpoints in question.
  endpoints @3 :List(Text);
  adapter @4 :Text;
  # Where the memory of endpoints is bounded: identifies the query, and the tokens of the request that needs room.
  number @5 :UInt32;
  tokens @6 :UInt64;
  # What waits at the sender for the subject, where requests are ordered across nodes.
  waiting @7 :WaitingAtNode;
}

struct WaitingAtNode {
  # Rank of the most urgent request, with times relative to the sending of the message.
  workspacePriority @0 :UInt32;
  priority @1 :UInt32;
  isNew @2 :Bool;
  isLate @3 :Bool;
  dispatchInUs @4 :Int64;
  ageUs @5 :Int64;
  # Number of waiting requests.
  requests @6 :UInt32;
  hasYielded @7 :Bool;
}

struct WaitingElsewhere {
  moreUrgent @0 :UInt32;
  requests @1 :UInt32;
  isWithheld @2 :Bool;
}

struct ReportedLoad {
  endpoint @0 :Text;
  # Requests of all nodes but the one that asked.
  requests @1 :UInt32;
  # Prompt tokens that may be sent to the endpoint at once; negative while it has more to process than the limit allows.
  promptAllowance @2 :Int32;
  # Tokens of these requests.
  tokens @3 :UInt64;
  # Tokens that the node which asked may dispatch there. 0 in reports of earlier versions.
  granted @4 :UInt64;
}

struct LoadReport {
  service @0 :Text;
  model @1 :Text;
  loads @2 :List(ReportedLoad);
  adapter @3 :Text;
  # Number of the query that is answered.
  number @4 :UInt32;
  # What waits at other nodes, where requests are ordered across nodes.
  elsewhere @5 :WaitingElsewhere;
  # Answers no query: tells a node of which requests wait that a slot has become free.
  isInvitation @6 :Bool;
}

struct ForwardingMessage {
  isQuery @0 :Bool;
  # Data centre of the sender.
  dataCentre @1 :Text;
  # How many more requests of others the sender takes; 0 in a query.
  capacity @2 :UInt32;
}

struct RateLimitNotice {
  endpoint @0 :Text;
  incarnation @1 :Text;
  # Requests per second; 0 when the endpoint no longer limits the rate.
  rate @2 :Float64;
  # Time since the answer that this is based on.
  ageMs @3 :UInt32;
  # Identifies the sender's count of requests that it has dispatched to the endpoint.
  count @4 :UInt64;
  dispatched @5 :UInt64;
  wantsReply @6 :Bool;
}

struct CrashSuspect {
  fingerprint @0 :UInt64;
  # Identities of the losses: hashes of the endpoint and its incarnation.
  losses @1 :List(UInt64);
  # Time since each loss.
  agesMs @2 :List(UInt32);
  # By how much earlier than noticed the endpoint may have ended, at each loss.
  uncertaintiesMs @3 :List(UInt32);
}

struct CrashSuspectNotice {
  suspects @0 :List(CrashSuspect);
  # Fingerprints of suspects that were answered completely.
  answered @1 :List(UInt64);
  # Losses whose endpoint answers again.
  disproved @2 :List(UInt64);
  # The sender requests the receiver's suspects.
  isRequest @3 :Bool;
  # What the fingerprints identify: requests, or parts of their prompts.
  subject @4 :Subject;
  # Fingerprints of suspects that had been answered completely before their losses.
  answeredBefore @5 :List(UInt64);
  # Fingerprints of refused suspects of which the sender lets one request run.
  tried @6 :List(UInt64);
  # For each of these, the loss that the endpoint of the request would suffer. Empty in notices of earlier versions.
  triedAt @7 :List(UInt64);

  enum Subject {
    request @0;
    promptPart @1;
  }
}

struct StreamOriginMessage {
  enum Kind {
    origin @0;
    query @1;
    reply @2;
  }
  kind @0 :Kind;
  # The request that brought the stream's first event.
  request @1 :Text;
  # Software version of the endpoint that wrote it; empty in a query, and in the reply of a node that does not know the stream.
  version @2 :Text;
}

struct AttestReply {
  granted @0 :Bool;
  revision @1 :UInt64;
  # The complete state, if requested and newer than the requester's revision; empty otherwise.
  snapshot @2 :Text;
}

struct SubmitReply {
  # The outcome as encoded by the replicated state machine; empty if the command was refused.
  outcome @0 :Text;
  # Set if the command was refused: name of the reason, whether it was executed, an explanation, and a retry delay in seconds (0 for none).
  reason @1 :Text;
  ran @2 :Text;
  detail @3 :Text;
  retryAfterS @4 :UInt32;
}

struct QueryReply {
  # HTTP status, content type and body of the response to the operator.
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Text;
}

interface Peer {
  consensus @0 (envelopes :List(Envelope)) -> ();
  identity @1 () -> (reply :IdentityReply);
  follow @2 (request :FollowRequest) -> (reply :FollowReply);
  # If state is true, the reply contains the complete state when it is newer than the known revision.
  attest @3 (known :UInt64, state :Bool) -> (reply :AttestReply);
  submit @4 (payload :Data) -> (reply :SubmitReply);
  # An operator's query that only the leader can answer completely.
  query @5 (statement :Text, json :Bool) -> (reply :QueryReply);
  # Asks the leader to take away the vote of a controller that is about to stop.
  leave @6 (voter :Text) -> (reply :LeaveReply);
}

interface PeerGate {
  # Grants access to the peer interface. Throws if the cluster or the protocol version differs, or the VM is not in the region.
  hello @0 (cluster :Text, vm :Text, protocol :UInt32) -> (peer :Peer);
}
