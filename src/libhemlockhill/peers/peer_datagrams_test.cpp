// Encoding of datagrams between nodes, and robustness against corrupt ones.
#include "hemlockhill/peer_datagrams.h"

#include "hemlockhill/failure.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

const RequestId Request{"9c41d07be2a35f68"};
const SoftwareVersion Version{"v2"};

const std::vector<PeerDatagram> &messages()
{
    static const std::vector<PeerDatagram> all{
        DispatchNotice{EndpointId{"i-7f3a91c2"}, TokenCount{1460}, 3, false},
        DispatchNotice{EndpointId{"i-7f3a91c2"}, TokenCount{0}, 3, true},
        DispatchNotice{EndpointId{"i-7f3a91c2"}, TokenCount{1460}, 3, false, TokenCount{9'480}},
        StreamOriginMessage{StreamOrigin{Request, Version}},
        StreamOriginMessage{StreamOriginQuery{Request}},
        StreamOriginMessage{StreamOriginReply{Request, Version}},
        StreamOriginMessage{StreamOriginReply{Request, {}}},
        CrashSuspectNotice{CrashSuspectSubject::Request, {}, {}, {}, {}, {}, true},
        CrashSuspectNotice{
            CrashSuspectSubject::PromptPart,
            {{Fingerprint{7},
              {{LossId{1}, std::chrono::milliseconds(90), std::chrono::milliseconds(7)}, {LossId{2}, std::chrono::hours(24)}}}},
            {Fingerprint{8}},
            {LossId{3}},
            {Fingerprint{9}},
            {{Fingerprint{10}, LossId{4}}},
            false},
        RateLimitNotice{EndpointId{"i-7f3a91c2"}, Incarnation{"17"}, RequestRate{1.8}, std::chrono::milliseconds(40), CountId{5}, 12, true},
        RateLimitNotice{EndpointId{"i-7f3a91c2"}, {}, {}, std::chrono::milliseconds(40), {}, 0, false},
        ForwardingMessage{true, DataCentreId{"np-central-a"}, 0},
        ForwardingMessage{false, DataCentreId{"np-central-a"}, 40},
        LoadQuery{{ServiceId{"register"}, {}}, {}, {}},
        LoadQuery{{ServiceId{"scribe"}, {ModelId{"m"}, AdapterId{"a1"}}},
                  {EndpointId{"i-7f3a91c2"}},
                  {{EndpointId{"i-7f3a91c2"}, 2}, {EndpointId{"i-7f3a91c3"}, 1}}},
        LoadQuery{{ServiceId{"scribe"}, {ModelId{"m"}, {}}},
                  {EndpointId{"i-7f3a91c2"}},
                  {{EndpointId{"i-7f3a91c2"}, 2, TokenCount{9'480}}},
                  17,
                  TokenCount{4'740},
                  WaitingAtNode{1, 2, false, true, std::chrono::milliseconds(-30), std::chrono::milliseconds(700), 3, true}},
        LoadReport{{ServiceId{"scribe"}, {ModelId{"m"}, {}}},
                   {{{EndpointId{"i-7f3a91c2"}, 5, TokenCount{23'700}}, -1200, TokenCount{4'740}}},
                   17,
                   WaitingElsewhere{2, 5, true}},
        LoadReport{{ServiceId{"scribe"}, {ModelId{"m"}, {}}}, {}, 0, {}, true},
        LoadReport{{ServiceId{"register"}, {}}, {}},
        LoadReport{{ServiceId{"scribe"}, {ModelId{"m"}, AdapterId{"a1"}}},
                   {{{EndpointId{"i-7f3a91c2"}, 5}, -1200}, {{EndpointId{"i-7f3a91c3"}, 0}, 3200}}},
        QuotaQuery{QuotaQueryId{0x9c41d07be2a35f68}, WorkspaceId{"clerks"}, ShareNumber{1}, 4500},
        QuotaReply{QuotaQueryId{7}, QuotaVerdict::Granted, {}},
        QuotaReply{QuotaQueryId{7}, QuotaVerdict::Refused, std::chrono::milliseconds(2200)},
        QuotaReply{QuotaQueryId{7}, QuotaVerdict::NotOwner, {}},
        QuotaReturn{QuotaQueryId{7}}};
    return all;
}

} // namespace

BOOST_AUTO_TEST_CASE(messages_round_trip_through_datagrams)
{
    for (const PeerDatagram &message : messages()) {
        BOOST_CHECK(decodePeerDatagram(encode(message)) == message);
    }
}

// Guards against notices about many lost requests that no node understands.
BOOST_AUTO_TEST_CASE(largest_notice_about_suspects_fits_into_a_datagram)
{
    const CrashSuspectLimits limits;
    CrashSuspectNotice notice;
    for (std::uint64_t entry = 0; entry < limits.noticeEntries; ++entry) {
        notice.suspects.push_back({Fingerprint{entry}, std::vector<CrashLoss>(limits.lossesOfSuspect)});
        notice.answered.push_back(Fingerprint{entry});
        notice.disproved.push_back(LossId{entry});
        notice.answeredBefore.push_back(Fingerprint{entry});
        notice.tried.push_back({Fingerprint{entry}, LossId{entry}});
    }
    BOOST_CHECK_LE(encode(notice).size(), DatagramLimitBytes);
}

// Two of these are sent for each request of a limited workspace, to a few owners.
BOOST_AUTO_TEST_CASE(quota_messages_are_small)
{
    const WorkspaceId longest{std::string(64, 'w')};
    BOOST_CHECK_LE(encode(QuotaQuery{QuotaQueryId{~0ULL}, longest, ShareNumber{1}, 4500}).size(), 256);
    BOOST_CHECK_LE(encode(QuotaReply{QuotaQueryId{~0ULL}, QuotaVerdict::Refused, std::chrono::seconds(5)}).size(), 192);
}

// A caller that comes back a moment too early would be refused again.
BOOST_AUTO_TEST_CASE(time_until_there_is_room_is_rounded_up)
{
    const PeerDatagram refused = QuotaReply{QuotaQueryId{7}, QuotaVerdict::Refused, std::chrono::microseconds(1200)};
    BOOST_CHECK(std::get<QuotaReply>(decodePeerDatagram(encode(refused))).wait == std::chrono::milliseconds(2));
}

BOOST_AUTO_TEST_CASE(query_about_a_share_that_does_not_exist_is_malformed)
{
    BOOST_CHECK_THROW(decodePeerDatagram(encode(QuotaQuery{QuotaQueryId{7}, WorkspaceId{"clerks"}, ShareNumber{2}, 1})), DecodeError);
}

BOOST_AUTO_TEST_CASE(corrupt_datagrams_throw_only_decode_error)
{
    boost::random::mt19937 random(5);
    BOOST_CHECK_THROW(decodePeerDatagram(""), DecodeError);
    for (const PeerDatagram &message : messages()) {
        const std::string whole = encode(message);
        for (int round = 0; round < 2000; ++round) {
            std::string damaged = whole.substr(0, random() % (whole.size() + 1));
            if (!damaged.empty()) {
                damaged[random() % damaged.size()] = static_cast<char>(random());
            }
            try {
                decodePeerDatagram(damaged);
            } catch (const DecodeError &) {
            }
        }
    }
}
