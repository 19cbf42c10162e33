// Keeps requests from endpoints that they would crash: requests that are sent again, and requests that have a part of their prompts in
// common with others that crashed endpoints.
#pragma once

#include "hemlockhill/abandoned_runs.h"
#include "hemlockhill/crash_suspects.h"
#include "hemlockhill/request_dialect.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Hemlockhill
{

// The limits for each subject.
struct CrashGuardLimits {
    CrashSuspectLimits requests;
    // A part is shared with sound requests, which are lost beside the culprit: more losses must coincide before it is refused.
    CrashSuspectLimits promptParts{.refusalThreshold = 3,
                                   .answeredRefusalThreshold = 6,
                                   .coincidence = std::chrono::milliseconds(200),
                                   .answeredRefusalPeriod = std::chrono::seconds(2),
                                   .trialDelay = std::chrono::seconds(3)};
};

// Why a request is refused, and for how long.
struct CrashRefusal {
    CrashSuspectSubject subject = CrashSuspectSubject::Request;
    Duration retryAfter{0};
};

// The suspects of one node among requests and among parts of prompts. See CrashSuspects.
class CrashGuard
{
public:
    explicit CrashGuard(CrashGuardLimits limits = {});

    // An endpoint broke off this node's exchange; it may have crashed since the request was sent.
    void onBrokenOff(const RoutedRequestHead &request, LossId loss, TimePoint sentAt, TimePoint now);
    // The caller of this node's exchange has left, before the answer was complete.
    void onCallerLeft(const RoutedRequestHead &request, LossId loss, TimePoint now);
    // The request was answered completely, which clears it and all parts of its prompt.
    void onAnswered(const RoutedRequestHead &request);
    // The answer has been written for some time, which clears all parts of the prompt: one that crashes endpoints does so when they begin
    // to write.
    void onProgress(const RoutedRequestHead &request);
    // A request has arrived, whether or not it is refused.
    void onArrival(const RoutedRequestHead &request);
    // The nodes that share what they know, including this one. They begin trials in different orders for different parts.
    void setNodes(const VmId &self, const std::vector<VmId> &nodes);
    // See CrashSuspects.
    void onEndpointAnswered(const EndpointAnswer &answer, TimePoint now);
    void onListed(const ListedIncarnations &listed, TimePoint now);
    void onNotice(const CrashSuspectNotice &notice, TimePoint now);

    // Returns why the request must not run now; empty if it may.
    std::optional<CrashRefusal> refusal(const RoutedRequestHead &request, TimePoint now) const;

    // Whether this node should let a refused request run as a trial, because nothing but parts that are common among the requests speak
    // against it.
    bool isTrialDue(const RoutedRequestHead &request, TimePoint now) const;
    // The request is sent although it is refused, to an endpoint that would suffer this loss.
    void onTrial(const RoutedRequestHead &request, LossId loss, TimePoint now);

    // Returns what the other nodes must learn since the last call.
    std::vector<CrashSuspectNotice> takeNotices(TimePoint now);
    // The suspects that are refused, a notice for each subject that has any.
    std::vector<CrashSuspectNotice> refusals(TimePoint now) const;
    void dropExpired(TimePoint now);
    std::size_t size() const { return m_requests.size() + m_promptParts.size(); }
    // Whether there is anything that a list of endpoints or the passage of time can change.
    bool needsReview() const { return size() > 0 || !m_abandonedRuns.empty(); }

private:
    void suspectAbandoned(const std::vector<AbandonedRun> &runs);
    std::vector<Fingerprint> refusedParts(const RoutedRequestHead &request, TimePoint now) const;
    // Number of nodes that may begin a trial of the part before this one.
    std::size_t trialRank(Fingerprint part) const;

    CrashSuspects m_requests;
    CrashSuspects m_promptParts;
    AbandonedRuns m_abandonedRuns;
    VmId m_self;
    std::vector<VmId> m_nodes;
};

} // namespace Hemlockhill
