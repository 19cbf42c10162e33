// Engine protocol: cache events, and the name under which an adapter is requested.
#include "hemlockhill/engine_api.h"

#include "hemlockhill/failure.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

BOOST_AUTO_TEST_CASE(cache_event_prefix_hashes_keep_64_bits)
{
    const auto events = parseCacheEvents(
        R"({"events":[{"sequence":3,"action":"store","prefix":"18446744073709551615"},{"sequence":5,"action":"evict","prefix":"7"}]})");
    BOOST_REQUIRE(events.size() == 2U);
    BOOST_TEST(events[0].sequence == 3U);
    BOOST_TEST(events[0].prefix.value == 18446744073709551615U);
    BOOST_TEST((events[1].action == CacheAction::Evict));
    BOOST_CHECK_THROW(parseCacheEvents(R"({"events":[{"sequence":3,"action":"store","prefix":"x"}]})"), DecodeError);
    BOOST_CHECK_THROW(parseCacheEvents(R"({"events":7})"), DecodeError);
}

BOOST_AUTO_TEST_CASE(adapter_is_requested_by_its_own_name)
{
    ModelRequest request = parseModelRequest("/v1/completions", R"({"model":"scribe:clubs","prompt":"chassis"})");
    setModelName(request, RoutingTarget{ModelId{"scribe"}, AdapterId{"clubs"}});
    BOOST_TEST(parseModelRequest("/v1/completions", request.body).model.value == "clubs");
    const std::string body = request.body;
    setModelName(request, RoutingTarget{ModelId{"scribe"}, AdapterId{"clubs"}});
    BOOST_TEST(request.body == body);
}
