// Requests, or parts of their prompts, that were in progress on endpoints that crashed, as one node knows them: those that crash whichever
// endpoint runs them are refused. Nodes share what they know by datagrams, so that a repeat is recognized at every node, also while no
// controller leads.
//
// Deterministic, without I/O: notices may be lost, late or repeated.
#pragma once

#include "hemlockhill/quarantine.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace Hemlockhill
{

// What the fingerprints of suspects identify.
enum class CrashSuspectSubject { Request, PromptPart };

std::string_view toText(CrashSuspectSubject subject);

// The loss of an endpoint's incarnation, and the time since it was noticed. The incarnation may have ended earlier, by up to the
// uncertainty.
struct CrashLoss {
    LossId loss;
    std::chrono::milliseconds age{0};
    std::chrono::milliseconds uncertainty{0};

    bool operator==(const CrashLoss &) const = default;
};

// An answer of an endpoint, as evidence that an incarnation has not ended. An answer does not name the incarnation that wrote it: after a
// restart under the same id it comes from the next one while the directory still shows the former.
struct EndpointAnswer {
    // The loss that the incarnation would suffer which the directory showed when the request was sent.
    LossId loss;
    // When the connection of the answer was established. One incarnation serves a connection from its beginning to its end. Empty if
    // unknown.
    std::optional<TimePoint> connectedAt;
    TimePoint sentAt;
};

// The endpoint list, as evidence that incarnations have not ended.
struct ListedIncarnations {
    // The losses that the listed incarnations would suffer.
    std::set<LossId> losses;
    // When the list was requested.
    TimePoint listedAt;
};

// Which other requests may be tried before one.
struct TrialOrder {
    // Number of nodes that may begin a trial of the suspect before this one.
    std::size_t nodesBefore = 0;
    // Number of further refused suspects in the request.
    std::size_t otherSuspects = 0;
};

// A request that is sent although it has a refused suspect, to see whether it crashes its endpoint.
struct CrashTrial {
    Fingerprint fingerprint;
    // The loss that the endpoint would suffer.
    LossId loss;

    bool operator==(const CrashTrial &) const = default;
};

// A request or part that was in progress on endpoints that were lost.
struct CrashSuspect {
    Fingerprint fingerprint;
    std::vector<CrashLoss> losses;

    bool operator==(const CrashSuspect &) const = default;
};

// What a node tells others.
struct CrashSuspectNotice {
    CrashSuspectSubject subject = CrashSuspectSubject::Request;
    std::vector<CrashSuspect> suspects;
    // Suspects that were answered completely, and so crash no endpoint.
    std::vector<Fingerprint> answered;
    // Losses that did not happen: the endpoint answers again.
    std::vector<LossId> disproved;
    // Suspects that had been answered completely before their losses.
    std::vector<Fingerprint> answeredBefore;
    // Trials that the sender has begun.
    std::vector<CrashTrial> tried;
    // The sender has just started and requests what the receiver knows.
    bool isRequest = false;

    bool empty() const
    {
        return suspects.empty() && answered.empty() && disproved.empty() && answeredBefore.empty() && tried.empty() && !isRequest;
    }
    bool operator==(const CrashSuspectNotice &) const = default;
};

// When a suspect is refused and for how long, and how much is remembered.
struct CrashSuspectLimits {
    // Number of losses from which a suspect is refused.
    std::size_t refusalThreshold = 2;
    // The same for one that had been answered before. Not lower than refusalThreshold.
    std::size_t answeredRefusalThreshold = 2;
    // Losses of a suspect that are closer together count as one: endpoints that fail at once fail for another reason.
    Duration coincidence{0};
    // How long a suspect below the threshold is remembered. Also the length of the first refusal; each further loss doubles it.
    Duration suspicionPeriod = std::chrono::minutes(10);
    // Length of the first refusal of one that had been answered before. Short, as nothing can be answered and clear it meanwhile.
    Duration answeredRefusalPeriod = std::chrono::minutes(10);
    Duration maxRefusalPeriod = std::chrono::hours(24);
    // Maximum age of what a list shows at the time when it is requested.
    Duration listLag = std::chrono::milliseconds(1500);
    // An incarnation that is still listed this long after its supposed loss has not crashed. Longer than a list shows a crashed endpoint.
    Duration lossConfirmation = std::chrono::seconds(15);
    // A refused suspect that is common among the requests may not be the culprit, and nothing could clear it: after this time one request
    // with it may run as a trial. After each trial that its endpoint did not survive, the next one waits trialBackoff times as long. Zero
    // for no trials.
    Duration trialDelay{0};
    unsigned trialBackoff = 8;
    // Time that each node leaves to the one before it to begin the trial.
    Duration trialSlot = std::chrono::milliseconds(250);
    // Time that a request leaves to those with one refused suspect less, whose trials tell more.
    Duration trialPrecedence = std::chrono::seconds(1);
    // A suspect is common if it is in this many requests that arrived since its first loss, and in this share of them.
    std::uint64_t commonArrivals = 3;
    double commonRatio = 0.1;
    // Maximum number of fingerprints that are remembered as answered.
    std::size_t answered = 16'384;
    // Maximum number of suspects, and of losses that are kept of each.
    std::size_t suspects = 4096;
    std::size_t lossesOfSuspect = 8;
    // Maximum length of each list in a notice, so that it fits into a datagram.
    std::size_t noticeEntries = 9;
};

// A bounded set of fingerprints, from which those that were added long ago are dropped.
class RecentFingerprints
{
public:
    explicit RecentFingerprints(std::size_t limit)
        : m_limit(limit)
    {
    }

    void insert(Fingerprint fingerprint);
    bool contains(Fingerprint fingerprint) const { return m_newer.contains(fingerprint.value) || m_older.contains(fingerprint.value); }

private:
    std::size_t m_limit;
    std::unordered_set<std::uint64_t> m_newer;
    std::unordered_set<std::uint64_t> m_older;
};

// The suspects of one node, among requests or among parts of prompts.
class CrashSuspects
{
public:
    explicit CrashSuspects(CrashSuspectSubject subject, CrashSuspectLimits limits = {});

    // An endpoint broke off this node's exchange; it may have crashed, up to this time ago. The loss identifies the endpoint's incarnation.
    void onBrokenOff(Fingerprint fingerprint, LossId loss, TimePoint now, Duration uncertainty = Duration(0));
    // The request, or one with this part, was answered so far that it does not crash the endpoint.
    void onAnswered(Fingerprint fingerprint);
    // A request with these fingerprints has arrived.
    void onArrival(const std::vector<Fingerprint> &fingerprints);
    // An endpoint has answered. An incarnation that answers over a connection from before its supposed loss has not crashed. An answer over
    // a later connection counts once a list shows that the incarnation is still the same.
    void onEndpointAnswered(const EndpointAnswer &answer, TimePoint now);
    // These incarnations are listed as running.
    void onListed(const ListedIncarnations &listed, TimePoint now);
    // Another node sent a notice.
    void onNotice(const CrashSuspectNotice &notice, TimePoint now);

    // Time for which the suspect is still refused; empty if it may run.
    std::optional<Duration> refusedFor(Fingerprint fingerprint, TimePoint now) const;

    // Whether a refused suspect should be tried now by a request with this order.
    bool isTrialDue(Fingerprint fingerprint, const TrialOrder &order, TimePoint now) const;
    // This node begins a trial.
    void onTrial(const CrashTrial &trial, TimePoint now);

    // Returns what the other nodes must learn since the last call.
    std::vector<CrashSuspectNotice> takeNotices(TimePoint now);
    // Returns the suspects that are refused, the latest first, as many as fit into a notice.
    CrashSuspectNotice refusals(TimePoint now) const;
    // Drops suspects that have expired. To be called now and then.
    void dropExpired(TimePoint now);
    std::size_t size() const { return m_suspects.size(); }

private:
    struct Suspect {
        std::map<LossId, TimePoint> losses;
        TimePoint lastLossAt;
        // Requests that have arrived with the suspect, and all that had arrived before its first loss.
        std::uint64_t arrivals = 0;
        std::uint64_t earlierArrivals = 0;
        // When the last trial began, the losses that the endpoints of trials would suffer, and how many have suffered theirs. A trial that
        // did not run, as its endpoint refused it, tells nothing.
        TimePoint triedAt;
        std::set<LossId> trialLosses;
        unsigned lostTrials = 0;
        // Whether this node has begun the last trial.
        bool isOwnTrial = false;
    };

    // When an incarnation may have ended.
    struct LossTime {
        TimePoint earliest;
        TimePoint latest;
        // When the endpoint first answered a request that was sent after the loss, over a connection that does not show its incarnation.
        std::optional<TimePoint> answeredAt;
    };

    // Returns whether the loss counts and was not known.
    bool addLoss(Fingerprint fingerprint, LossId loss, TimePoint lostAt, Duration uncertainty);
    void recordTime(LossId loss, TimePoint lostAt, Duration uncertainty);
    bool coincides(const Suspect &suspect, TimePoint lostAt) const;
    // Tells the other nodes that a suspect which they may soon refuse had been answered before its losses.
    void reportIfAnswered(Fingerprint fingerprint);
    std::size_t threshold(Fingerprint fingerprint) const;
    bool isCommon(const Suspect &suspect) const;
    void recordTrial(const CrashTrial &trial, bool isOwn, TimePoint now);
    void evictIfFull();
    void disprove(LossId loss);
    Duration refusalPeriod(Fingerprint fingerprint, const Suspect &suspect) const;
    Duration retention(Fingerprint fingerprint, const Suspect &suspect) const;
    CrashSuspect describe(Fingerprint fingerprint, const Suspect &suspect, TimePoint now) const;

    CrashSuspectSubject m_subject;
    CrashSuspectLimits m_limits;
    std::map<Fingerprint, Suspect> m_suspects;
    // Times of the losses of suspects.
    std::map<LossId, LossTime> m_lossTimes;
    // What has been answered completely at any time, as far as this node knows.
    RecentFingerprints m_everAnswered;
    std::uint64_t m_arrivals = 0;
    // What the next notices will say.
    std::set<Fingerprint> m_changed;
    std::vector<Fingerprint> m_answeredBefore;
    std::vector<Fingerprint> m_answered;
    std::vector<LossId> m_disproved;
    std::vector<CrashTrial> m_tried;
};

} // namespace Hemlockhill
