// Tests of routing: candidates, costs, and the distribution of requests between nodes.
#include "hemlockhill/routing.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace Hemlockhill;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start{Duration(10s)};
const RoutingTarget Scribe{ModelId{"scribe"}, {}};

EndpointId runner(int number)
{
    return EndpointId{"runner-" + std::to_string(number)};
}

struct Region {
    RegionState state;
    EndpointReports reports;

    explicit Region(int runners)
    {
        state.models[ModelId{"scribe"}] = Model{ModelId{"scribe"}, VersionId{"v1"}, {}, {}, 1, {}};
        state.adapters[AdapterId{"clubs"}] = Adapter{AdapterId{"clubs"}, ModelId{"scribe"}, VersionId{"v1"}, {}, false};
        for (int number = 0; number < runners; ++number) {
            Endpoint endpoint;
            endpoint.id = runner(number);
            endpoint.dataCentre = DataCentreId{"ktm-1"};
            state.endpoints[endpoint.id] = endpoint;
            EndpointReport report;
            report.incarnation = Incarnation{"a"};
            report.models.push_back({ModelId{"scribe"}, VersionId{"v1"}, {}});
            report.batchLimit = 16;
            report.requestedAt = Start;
            reports[endpoint.id] = report;
        }
    }

    void applyTo(Routing &routing) const
    {
        routing.onState(std::make_shared<const RegionState>(state));
        routing.onReports(std::make_shared<const EndpointReports>(reports));
    }
};

RoutingParameters parameters()
{
    RoutingParameters parameters;
    parameters.dataCentre = DataCentreId{"ktm-1"};
    return parameters;
}

RoutingRequest requestOf(const std::string &prompt = {})
{
    RoutingRequest request;
    request.target = Scribe;
    request.prefixes = prefixHashes(request.target.model, {}, prompt);
    return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_usable_endpoints_are_candidates)
{
    Region region(6);
    region.reports[runner(0)].leaving = true;
    region.reports[runner(1)].models.clear();
    region.reports[runner(2)].requestedAt = Start - 4s;
    region.state.endpoints[runner(3)].phase = EndpointPhase::Draining;
    Routing routing(parameters(), 1);
    region.applyTo(routing);
    routing.onLeaving({runner(4)});
    for (int round = 0; round < 50; ++round) {
        BOOST_TEST(routing.choose(requestOf(), Start)->value == "runner-5");
    }
    routing.onEndpointLeaving(runner(5), Start);
    // The only remaining endpoint with the model is draining and has not refused requests.
    BOOST_TEST(routing.choose(requestOf(), Start)->value == "runner-3");
    routing.onLeaving({runner(3), runner(4)});
    BOOST_TEST(!routing.choose(requestOf(), Start).has_value());
}

BOOST_AUTO_TEST_CASE(names_resolve_to_models_and_adapters)
{
    Region region(2);
    region.reports[runner(1)].adapters.push_back({AdapterId{"clubs"}, ModelId{"scribe"}, VersionId{"v1"}, {}});
    Routing routing(parameters(), 1);
    region.applyTo(routing);
    const RoutingTarget adapter{ModelId{"scribe"}, AdapterId{"clubs"}};
    BOOST_TEST((routing.resolve("scribe") == Scribe));
    BOOST_TEST((routing.resolve("clubs") == adapter));
    BOOST_TEST((routing.resolve("scribe:clubs") == adapter));
    BOOST_TEST(!routing.resolve("oracle:clubs").has_value());
    RoutingRequest request;
    request.target = adapter;
    for (int round = 0; round < 20; ++round) {
        BOOST_TEST(routing.choose(request, Start)->value == "runner-1");
    }
}

BOOST_AUTO_TEST_CASE(local_dispatches_correct_a_lagging_report)
{
    Region region(1);
    region.reports[runner(0)].running = 5;
    Routing routing(parameters(), 1);
    routing.onDispatched(runner(0), requestOf(), Start - 1s);
    routing.onDispatched(runner(0), requestOf(), Start - 900ms);
    region.applyTo(routing);
    routing.onDispatched(runner(0), requestOf(), Start + 10ms);
    routing.onDispatched(runner(0), requestOf(), Start + 20ms);
    BOOST_TEST(routing.loadOf(runner(0)) == 7U);
    routing.onEnded(runner(0), 100ms, Start + 40ms);
    BOOST_TEST(routing.loadOf(runner(0)) == 6U);
}

BOOST_AUTO_TEST_CASE(lag_applies_only_to_the_load_of_other_nodes)
{
    Region region(1);
    region.reports[runner(0)].running = 4;
    Routing routing(parameters(), 1);
    region.applyTo(routing);
    BOOST_TEST((routing.forecast(Scribe, Start).lag == 300ms));
    for (int request = 0; request < 4; ++request) {
        routing.onDispatched(runner(0), requestOf(), Start + 1ms);
    }
    BOOST_TEST(routing.forecast(Scribe, Start + 1ms).load == 8U);
    BOOST_TEST((routing.forecast(Scribe, Start + 1ms).lag == 150500us));
}

BOOST_AUTO_TEST_CASE(failed_endpoint_is_avoided_while_another_is_available)
{
    Region region(2);
    Routing routing(parameters(), 1);
    region.applyTo(routing);
    routing.onFailed(runner(0), Reason::EndpointLost, Start);
    RoutingRequest request = requestOf();
    for (int round = 0; round < 20; ++round) {
        BOOST_TEST(routing.choose(request, Start + 1ms)->value == "runner-1");
    }
    request.avoided.insert(runner(1));
    region.state.endpoints.erase(runner(0));
    region.applyTo(routing);
    BOOST_TEST(routing.choose(request, Start + 1ms)->value == "runner-1");
}

BOOST_AUTO_TEST_CASE(cached_prefix_is_preferred_until_queueing_costs_more)
{
    Region region(8);
    Routing routing(parameters(), 7);
    region.applyTo(routing);
    const RoutingRequest request = requestOf(std::string(4096, 'p'));
    routing.onDispatched(runner(3), request, Start);
    for (int round = 0; round < 50; ++round) {
        BOOST_TEST(routing.choose(request, Start)->value == "runner-3");
    }
    region.reports[runner(3)].running = 16;
    region.reports[runner(3)].waiting = 16;
    region.applyTo(routing);
    for (int round = 0; round < 50; ++round) {
        BOOST_TEST(routing.choose(request, Start)->value != "runner-3");
    }
}

BOOST_AUTO_TEST_CASE(gaps_in_cache_events_lower_the_hit_ratio)
{
    PrefixIndex index(100);
    const auto prefixes = prefixHashes(ModelId{"scribe"}, {}, std::string(512, 'p'));
    BOOST_REQUIRE(prefixes.size() == 2U);
    index.onEvents(runner(0), {{1, CacheAction::Store, prefixes[0]}, {2, CacheAction::Store, prefixes[1]}});
    BOOST_TEST(index.hitRatio(runner(0), prefixes) == 1.0);
    index.onEvents(runner(0), {{5, CacheAction::Store, PrefixHash{9}}});
    BOOST_TEST(index.hitRatio(runner(0), prefixes) == 0.5);
    index.onEvents(runner(0), {{2, CacheAction::Evict, prefixes[0]}});
    BOOST_TEST(index.hitRatio(runner(0), prefixes) == 0.5);
    index.onEvents(runner(0), {{6, CacheAction::Evict, prefixes[0]}});
    BOOST_TEST(index.hitRatio(runner(0), prefixes) == 0.0);
    index.removeEndpoint(runner(0));
    BOOST_TEST(index.size() == 0U);
}

BOOST_AUTO_TEST_CASE(nodes_with_the_same_stale_reports_distribute_their_requests)
{
    constexpr int Nodes = 9;
    constexpr int Runners = 12;
    constexpr int RequestsPerNode = 4;
    Region region(Runners);
    // One runner is reported as idle and the others as lightly loaded; all nodes have the same reports.
    for (int number = 1; number < Runners; ++number) {
        region.reports[runner(number)].running = 2;
    }
    std::map<EndpointId, int> placed;
    for (std::uint64_t node = 1; node <= Nodes; ++node) {
        Routing routing(parameters(), node);
        region.applyTo(routing);
        for (int request = 0; request < RequestsPerNode; ++request) {
            const EndpointId chosen = *routing.choose(requestOf(), Start);
            routing.onDispatched(chosen, requestOf(), Start + 1ms);
            ++placed[chosen];
        }
    }
    const auto most = std::max_element(placed.begin(), placed.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    BOOST_TEST(most->second <= Nodes * RequestsPerNode / 3);
    BOOST_TEST(placed.size() >= 9U);
}

BOOST_AUTO_TEST_CASE(draining_endpoint_serves_while_no_other_has_the_model)
{
    Region region(2);
    region.state.endpoints[runner(0)].phase = EndpointPhase::Draining;
    region.reports[runner(1)].models.clear();
    Routing routing(parameters(), 1);
    region.applyTo(routing);
    const auto onlyCopy = routing.candidates(requestOf(), Start);
    BOOST_REQUIRE_EQUAL(onlyCopy.size(), 1U);
    BOOST_TEST(onlyCopy.front().endpoint == runner(0));

    region.reports[runner(1)].models = region.reports[runner(0)].models;
    region.applyTo(routing);
    const auto moved = routing.candidates(requestOf(), Start);
    BOOST_REQUIRE_EQUAL(moved.size(), 1U);
    BOOST_TEST(moved.front().endpoint == runner(1));
}
