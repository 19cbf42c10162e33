// Encoding of dispatch notices, and robustness against corrupt datagrams.
#include "hemlockhill/dispatch_notices.h"

#include "hemlockhill/failure.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

BOOST_AUTO_TEST_CASE(notice_round_trips_through_datagram)
{
    const DispatchNotice notice{EndpointId{"i-7f3a91c2"}, TokenCount{1460}, 3};
    BOOST_CHECK(decodeDispatchNotice(encode(notice)) == notice);
}

BOOST_AUTO_TEST_CASE(corrupt_datagrams_throw_only_decode_error)
{
    const std::string whole = encode({EndpointId{"i-7f3a91c2"}, TokenCount{1460}, 3});
    boost::random::mt19937 random(5);
    BOOST_CHECK_THROW(decodeDispatchNotice(""), DecodeError);
    for (int round = 0; round < 2000; ++round) {
        std::string damaged = whole.substr(0, random() % (whole.size() + 1));
        if (!damaged.empty()) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        try {
            decodeDispatchNotice(damaged);
        } catch (const DecodeError &) {
        }
    }
}
