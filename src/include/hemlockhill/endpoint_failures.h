// Decides which endpoints are put into backoff because of failed requests. Deterministic, without I/O: the caller passes in the current
// time.
//
// A failure may be the endpoint's or the request's own. Where all endpoints of a service fail a part of their requests alike, taking them
// out helps nobody: an endpoint is put into backoff only if it fails clearly more often than the others of its service, or if it answers
// nothing at all.
#pragma once

#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Hemlockhill
{

struct EndpointFailureLimits {
    // Backoff after a failure. It doubles with each consecutive failure up to the maximum.
    Duration initialBackoff = std::chrono::milliseconds(500);
    Duration maximumBackoff = std::chrono::seconds(4);
    // Failure rate, as a moving average, at or above which an endpoint is compared with the others after every failure.
    double failureRateThreshold = 0.3;
    // Consecutive failures from which on an endpoint is compared with the others, or counts as unreachable if nothing was sent.
    std::uint32_t consecutiveFailures = 2;
    // Consecutive failures from which on an endpoint counts as one that answers nothing, whatever the others do. An endpoint that fails 3
    // in 10 requests has so many in a row once in 15,000 requests.
    std::uint32_t answersNothingAfter = 8;
    // Number of requests of another endpoint from which on it is compared with.
    std::uint32_t minimumSamples = 8;
    // Minimum difference between the failure rates, as moving averages. Below a rate of 0.1 of the others, an endpoint that reaches the
    // threshold is put into backoff.
    double minimumMargin = 0.2;
    // Minimum difference in standard deviations of the moving average of an endpoint that fails as often as the others.
    double marginDeviations = 3;
    // Probability below which so many consecutive failures are not taken for those of an endpoint that fails as often as the others.
    double improbable = 0.001;
};

// What a failed exchange shows.
enum class EndpointFailureKind {
    // The endpoint answered with an error of its own, gave no valid answer, or closed the connection early.
    Exchange,
    // No connection could be established.
    NotConnected
};

// What follows a failure for the endpoint.
enum class FailureVerdict {
    // The endpoint has failed too rarely to be compared.
    Tolerated,
    // It is no worse than the other endpoints of its service, and stays in use.
    NoWorse,
    BackedOff
};
std::string_view toText(FailureVerdict verdict);

struct FailureAssessment {
    FailureVerdict verdict = FailureVerdict::Tolerated;
    // The failure rate of the endpoint, and that of the others; empty if too little is known of them.
    double failureRate = 0;
    std::optional<double> othersRate;
    std::uint32_t consecutiveFailures = 0;
    // Set with BackedOff.
    Duration backoff{0};
    // Whether the endpoint was not in backoff before, or has not been found no worse within the last seconds: for logs.
    bool isNew = false;
};

class EndpointFailures
{
public:
    explicit EndpointFailures(EndpointFailureLimits limits = {});

    // The endpoint returned a valid response.
    void onSucceeded(const EndpointId &endpoint);
    FailureAssessment onFailed(const EndpointId &endpoint, EndpointFailureKind kind, TimePoint now);
    // Neither this node nor others can connect to the endpoint.
    FailureAssessment onUnreachable(const EndpointId &endpoint, TimePoint now);
    // Takes over which endpoints a service has, and discards the records of those that are no longer listed.
    void onDirectory(const EndpointsById &endpoints);

    // Whether the endpoint must not be used at present. An endpoint that answers a part of its requests is used all the same where no
    // other endpoint of its service, or none with one of its models, is in use.
    bool isInBackoff(const EndpointId &endpoint, TimePoint now) const;

private:
    struct Record {
        std::uint32_t consecutiveFailures = 0;
        // Consecutive backoffs without a success in between.
        std::uint32_t backoffs = 0;
        bool hasSucceeded = false;
        // Set when the endpoint is in backoff because it cannot be connected to, until it answers.
        bool isUnreachable = false;
        // Failed fraction of the requests, as an exponential moving average that begins at 0.
        double failureRate = 0;
        // The same over more requests, for comparison with other endpoints, and the sum of its weights.
        double comparedRate = 0;
        double comparedWeight = 0;
        std::uint32_t samples = 0;
        TimePoint backoffUntil;
        std::optional<TimePoint> foundNoWorseAt;
    };
    struct Listed {
        ServiceId service;
        std::set<ModelId> models;
        bool leaving = false;

        bool operator==(const Listed &) const = default;
    };

    void addSample(Record &record, bool hasFailed) const;
    // Whether the endpoint answers no part of its requests.
    bool answersNothing(const Record &record) const;
    // Failure rate that half of the other endpoints of the service do not exceed; empty if too little is known of them.
    std::optional<double> othersRate(const EndpointId &endpoint) const;
    bool isWorse(const Record &record, double othersRate) const;
    void backOff(Record &record, TimePoint now, FailureAssessment &assessment) const;
    bool isBackedOff(const EndpointId &endpoint, TimePoint now) const;
    bool isNeeded(const EndpointId &endpoint, TimePoint now) const;

    EndpointFailureLimits m_limits;
    std::map<EndpointId, Record> m_records;
    std::map<EndpointId, Listed> m_listed;
    std::map<ServiceId, std::set<EndpointId>> m_services;
};

} // namespace Hemlockhill
