// Quarantine of requests that crash endpoints. Requests are identified by a fingerprint of their content, so that repeats are
// recognised at every node. A request that was running on a lost endpoint becomes a suspect; after a second loss it is refused.
#pragma once

#include "hemlockhill/once_register.h"
#include "hemlockhill/world.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hemlockhill
{

// A hash of the parts of a request that affect its result: model, adapter, prompt or messages, and sampling parameters.
using Fingerprint = Quantity<struct FingerprintTag>;
// Identifies the loss of one incarnation of an endpoint. The same for all nodes that report it.
using LossId = Quantity<struct LossTag>;
// Identifies one trial run of a suspect.
using TrialId = Id<struct TrialTag>;

// Computes the fingerprint of a request body. Member order, white space and members that do not affect the result, such as ids, are
// ignored. Throws DecodeError when the body is not a JSON object.
Fingerprint fingerprintOf(std::string_view body);

LossId lossIdOf(const EndpointId &endpoint, const Incarnation &incarnation);

// Reports that an endpoint was lost, with the requests of the reporting node that were running on it.
struct ReportLoss {
    LossId loss;
    std::vector<Fingerprint> running;

    bool operator==(const ReportLoss &) const = default;
};

// Requests permission to run a suspect on the endpoint. At most one trial runs per suspect and per endpoint.
struct StartTrial {
    Fingerprint fingerprint;
    TrialId trial;
    EndpointId endpoint;

    bool operator==(const StartTrial &) const = default;
};

// Ends a trial without a result, for instance because the caller disconnected.
struct EndTrial {
    Fingerprint fingerprint;
    TrialId trial;

    bool operator==(const EndTrial &) const = default;
};

// Removes a suspect from the register because it was answered completely.
struct ClearSuspect {
    Fingerprint fingerprint;

    bool operator==(const ClearSuspect &) const = default;
};

// One log entry of the quarantine register.
struct QuarantineCommand {
    WallTime proposedAt;
    std::variant<ReportLoss, StartTrial, EndTrial, ClearSuspect> step;

    bool operator==(const QuarantineCommand &) const = default;
};

// The result of a command. TrialGranted and TrialRefused answer StartTrial.
enum class QuarantineOutcome { Applied, TrialGranted, TrialRefused };

enum class QuarantineVerdict {
    Allowed,
    // The request may run only as a granted trial, on the copy with the fewest running requests and never on a model's last copy.
    TrialOnly,
    Refused,
};

struct QuarantineDecision {
    QuarantineVerdict verdict = QuarantineVerdict::Allowed;
    // Time after which the caller may retry. Present with Refused.
    std::optional<std::chrono::seconds> retryAfter;

    bool operator==(const QuarantineDecision &) const = default;
};

// Limits of the register. Must be identical on every replica.
struct QuarantineLimits {
    // Maximum number of suspects. When it is reached, the lowest-ranked suspect is evicted.
    std::size_t maxSuspects = 4096;
    // Time for which a request stays a suspect after one loss. Also the length of the first refusal; each further refusal lasts twice
    // as long, up to maxRefusalPeriod.
    std::chrono::milliseconds suspicionPeriod = std::chrono::minutes(10);
    std::chrono::milliseconds maxRefusalPeriod = std::chrono::hours(24);
    // Time after the grant at which a trial that has not ended counts as a loss.
    std::chrono::milliseconds trialTimeout = std::chrono::minutes(2);
};

// A request that was running on at least one lost endpoint.
struct Suspect {
    struct Loss {
        LossId loss;
        // True once the loss is attributed to another request.
        bool attributedToOther = false;

        bool operator==(const Loss &) const = default;
    };

    std::vector<Loss> losses;
    // The sum of 1000 / n over the losses, where n is the number of requests in the report of the loss. Ranks suspects for eviction.
    std::uint32_t weight = 0;
    // Number of refusal periods so far.
    std::uint32_t refusals = 0;
    // End of the suspicion or of the current refusal period.
    WallTime expiresAt;
    // Present while a trial runs.
    std::optional<TrialId> trial;
    EndpointId trialEndpoint;
    WallTime trialDeadline;

    bool has(LossId loss) const;
    // True after two losses of which at least one is not attributed to another request. No request may cost a third endpoint.
    bool refused() const;
    bool operator==(const Suspect &) const = default;
};

// The replicated state machine. Deterministic: its clock is the latest time of any applied command, so it never runs backwards.
class QuarantineRegister
{
public:
    explicit QuarantineRegister(QuarantineLimits limits = {})
        : m_limits(limits)
    {
    }

    QuarantineOutcome apply(const QuarantineCommand &command);

    // The suspect with this fingerprint, or null. Valid until the next command is applied.
    const Suspect *find(Fingerprint fingerprint) const;
    std::size_t size() const { return m_suspects.size(); }
    const QuarantineLimits &limits() const { return m_limits; }
    bool hasTrialOn(const EndpointId &endpoint) const;

    // Converts the complete state to text and back. restore() throws DecodeError when the text is not a valid snapshot.
    std::string snapshot() const;
    static QuarantineRegister restore(std::string_view snapshot, QuarantineLimits limits = {});

private:
    QuarantineOutcome apply(const ReportLoss &step);
    QuarantineOutcome apply(const StartTrial &step);
    QuarantineOutcome apply(const EndTrial &step);
    QuarantineOutcome apply(const ClearSuspect &step);
    void expire();
    // Returns true when this loss leads to a refusal of the suspect.
    bool addLoss(Suspect &suspect, LossId loss, std::uint32_t weight);
    // Marks the losses as attributed to another request in all suspects that are not part of the latest report.
    void attributeLosses(const std::vector<LossId> &losses, const ReportLoss &latest);
    void evictIfFull();

    QuarantineLimits m_limits;
    WallTime m_now;
    std::map<Fingerprint, Suspect> m_suspects;
};

// An endpoint on which a suspect could run, and the number of requests running there.
struct TrialCandidate {
    EndpointId endpoint;
    std::uint32_t running = 0;
};

// The quarantine decisions at one node. Combines the replicated register with losses that the node has reported but that its replica
// does not contain yet.
class Quarantine
{
public:
    explicit Quarantine(VmId node, QuarantineLimits limits = {});

    // Sets the latest state of this node's replica of the register.
    void updateReplica(std::shared_ptr<const QuarantineRegister> replica, WallTime now);

    // Decides whether a request may run. copies is the number of loaded copies of its model.
    QuarantineDecision decide(Fingerprint fingerprint, std::size_t copies, WallTime now) const;
    // Chooses the candidate with the fewest running requests among those without a trial. Empty when there is none.
    std::optional<EndpointId> chooseTrialEndpoint(const std::vector<TrialCandidate> &candidates) const;

    // The following methods return the commands to replicate. A request whose endpoint was lost must not be answered or retried before
    // the report of the loss is committed and applied.
    std::vector<QuarantineCommand>
    onEndpointLost(const EndpointId &endpoint, const Incarnation &incarnation, const std::vector<Fingerprint> &running, WallTime now);
    QuarantineCommand startTrial(Fingerprint fingerprint, const EndpointId &endpoint, WallTime now);
    std::vector<QuarantineCommand> onCompleted(Fingerprint fingerprint, WallTime now);
    std::vector<QuarantineCommand> onCancelled(Fingerprint fingerprint, WallTime now);

private:
    struct LocalLoss {
        LossId loss;
        WallTime at;
    };

    VmId m_node;
    QuarantineLimits m_limits;
    std::shared_ptr<const QuarantineRegister> m_replica;
    // Losses that this node has reported and that its replica may not contain yet.
    std::map<Fingerprint, std::vector<LocalLoss>> m_reported;
    std::map<Fingerprint, TrialId> m_trials;
    std::uint64_t m_lastTrial = 0;
};

// Converts a command to the text of a log entry and back. Decoding throws DecodeError when the text is malformed.
std::string encode(const QuarantineCommand &command);
QuarantineCommand decodeQuarantineCommand(std::string_view text);

// Proposes a command to the replicated register. The reply is called on the proposer's event loop, either with the outcome once the
// command is committed and applied, or with a refusal. After a refusal the command may still be committed.
using QuarantineReply = std::function<void(std::variant<QuarantineOutcome, Refusal>)>;
using QuarantinePort = std::function<void(QuarantineCommand, QuarantineReply)>;

} // namespace Hemlockhill
