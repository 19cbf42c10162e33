// Tests what callers hear of, and endpoints run for, a node before endpoints that send responses to no request over kept connections.
#include "hemlockhill/caller_thread.h"
#include "hemlockhill/endpoint_thread.h"
#include "hemlockhill/exchange_name.h"
#include "hemlockhill/serving_gate.h"
#include "net/raw_endpoint_testing.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <optional>
#include <string>
#include <thread>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace
{

const Address Callers{"127.0.0.1", 9'571};
const std::array<Address, 2> Engines{Address{"127.0.0.1", 9'572}, Address{"127.0.0.1", 9'573}};
const Address Register{"127.0.0.1", 9'574};
const std::string ModelCall = R"({"model":"scribe","prompt":"chassis"})";
constexpr auto StartLimit = std::chrono::seconds(5);

using ClientResponse = http::response<http::string_body>;

enum class Echo { Never, Always };

std::string responseText(const std::string &status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

// Says of no request in particular that it was not run.
const std::string StrayRefusal = responseText("503 Busy", {}, R"({"error":"busy","ran":"no"})");

// What an endpoint sends beside its responses.
enum class Extra {
    // A refusal of no request, before each response but the first on a connection.
    Unnamed,
    // A copy of the refusal of the exchange before on the same connection, under the name of that exchange, before each response.
    CopyBefore,
    // The same behind each response, whole, and in two parts.
    CopyBehind,
    CopyBehindInParts
};

// An endpoint that sends refusals that no request awaits.
class StrayEndpoint
{
public:
    StrayEndpoint(boost::asio::io_context &loop, const Address &address, Echo echo, Extra extra)
        : m_echo(echo)
        , m_extra(extra)
        , m_endpoint(loop, address, [this](const RawEndpoint::Request &request) { return answer(request); })
    {
    }

    // Number of requests other than for reports and cache events, and of those that came over a connection with earlier requests.
    std::uint32_t runs() const { return m_runs; }
    std::uint32_t runsOnKeptConnections() const { return m_runsOnKeptConnections; }

private:
    RawAnswer answer(const RawEndpoint::Request &request)
    {
        const bool isKept = m_endpoint.earlierRequests() > 0;
        const std::string name(request[ExchangeNameHeader]);
        const std::string copied = m_extra == Extra::CopyBefore ? std::exchange(m_lastName, name) : name;
        const std::string header = std::string(ExchangeNameHeader) + ": " + copied + "\r\n";
        const std::string copy = responseText("503 Busy", m_echo == Echo::Always ? header : "", R"({"error":"busy","ran":"no"})");
        RawAnswer answer{own(request, isKept), ConnectionEnd::KeepOpen, {}};
        switch (m_extra) {
        case Extra::Unnamed:
            answer.bytes = (isKept ? StrayRefusal : std::string()) + answer.bytes;
            break;
        case Extra::CopyBefore:
            answer.bytes = (isKept ? copy : std::string()) + answer.bytes;
            break;
        case Extra::CopyBehind:
            answer.bytes += copy;
            break;
        case Extra::CopyBehindInParts:
            answer.bytes += copy.substr(0, copy.find("Busy"));
            answer.lateParts = {copy.substr(copy.find("Busy"))};
            break;
        }
        return answer;
    }

    std::string own(const RawEndpoint::Request &request, bool isKept)
    {
        std::string headers;
        if (m_echo == Echo::Always) {
            headers = std::string(ExchangeNameHeader) + ": " + std::string(request[ExchangeNameHeader]) + "\r\n";
        }
        if (request.target() == "/engine/v1/report") {
            return responseText("200 OK", headers, R"({"incarnation":"1","models":[{"model":"scribe","version":"v1","bytes":1}]})");
        }
        if (request.target().starts_with("/engine/v1/")) {
            return responseText("404 Not Found", headers, "{}");
        }
        ++m_runs;
        m_runsOnKeptConnections += isKept ? 1 : 0;
        return responseText("200 OK", headers, R"({"answer":")" + std::string(request.target()) + R"("})");
    }

    Echo m_echo;
    Extra m_extra;
    std::string m_lastName;
    std::atomic<std::uint32_t> m_runs = 0;
    std::atomic<std::uint32_t> m_runsOnKeptConnections = 0;
    RawEndpoint m_endpoint;
};

Endpoint endpointAt(const std::string &id, const Address &address, EndpointKind kind)
{
    Endpoint endpoint;
    endpoint.id = EndpointId{id};
    endpoint.address = address;
    endpoint.kind = kind;
    return endpoint;
}

std::shared_ptr<const RegionState> makeState()
{
    RegionState state;
    state.revision = Revision{1};
    for (const Endpoint &endpoint : {endpointAt("runner-1", Engines[0], EndpointKind::Runner),
                                     endpointAt("runner-2", Engines[1], EndpointKind::Runner),
                                     endpointAt("register-1", Register, EndpointKind::PlainService)}) {
        state.endpoints[endpoint.id] = endpoint;
    }
    Service drafts;
    drafts.id = ServiceId{"drafts"};
    drafts.onceOnly = true;
    state.services[drafts.id] = drafts;
    Service dues;
    dues.id = ServiceId{"dues"};
    dues.endpoints = {EndpointId{"register-1"}};
    state.services[dues.id] = dues;
    state.models[ModelId{"scribe"}] = Model{ModelId{"scribe"}, VersionId{"v1"}, Bytes{1}, {}, 1, drafts.id};
    return std::make_shared<const RegionState>(std::move(state));
}

Settings makeSettings()
{
    Settings settings;
    settings.vm = VmId{"vm-a"};
    settings.callers.listen = Callers;
    settings.endpoints.reportPeriod = std::chrono::milliseconds(100);
    settings.endpoints.firstByteTimeout = std::chrono::seconds(2);
    return settings;
}

// The threads of a node that run requests, before two engines and a plain service.
class Fixture
{
public:
    explicit Fixture(Echo echo, Extra extra = Extra::Unnamed)
        : m_engines{StrayEndpoint(m_loop, Engines[0], echo, extra), StrayEndpoint(m_loop, Engines[1], echo, extra)}
        , m_register(m_loop, Register, echo, extra)
        , m_callers(makeSettings(), m_timers, m_metrics, m_gate)
        , m_endpoints(makeSettings().endpoints, m_timers, m_metrics, [this](const CallerThreadMessage &message) {
            m_hasReports = m_hasReports || std::holds_alternative<ReportsChanged>(message);
            return m_callers.post(message);
        })
    {
        m_gate.openUntil(currentTime() + std::chrono::hours(1));
        m_callers.connectOnce([this](const OnceCommand &command, const OnceReply &reply) {
            boost::asio::post(m_callers.context(), [this, command, reply] { reply(m_onceRegister.apply(command)); });
        });
        m_endpoints.start();
        m_callers.start([this](EndpointThreadMessage message) { return m_endpoints.post(std::move(message)); }, [] {});
        m_callers.post(StateChanged{makeState()});
        m_endpoints.post(StateChanged{makeState()});
        m_endpointThread = std::thread([this] { m_loop.run(); });
        waitForModel();
    }

    ~Fixture()
    {
        m_timers.stop();
        m_callers.stop();
        m_endpoints.stop();
        m_loop.stop();
        m_endpointThread.join();
    }

    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    static ClientResponse call(http::verb method, const std::string &target, const std::string &key = {}, const std::string &body = {})
    {
        boost::asio::io_context loop;
        tcp::socket socket(loop);
        socket.connect({boost::asio::ip::make_address(Callers.host), Callers.port});
        http::request<http::string_body> request(method, target, 11, body);
        request.set(http::field::host, Callers.host);
        if (!key.empty()) {
            request.set("Idempotency-Key", key);
        }
        request.prepare_payload();
        http::write(socket, request);
        boost::beast::flat_buffer buffer;
        ClientResponse response;
        http::read(socket, buffer, response);
        return response;
    }

    const StrayEndpoint &service() const { return m_register; }
    std::uint32_t engineRuns() const { return m_engines[0].runs() + m_engines[1].runs(); }
    std::uint32_t engineRunsOnKeptConnections() const
    {
        return m_engines[0].runsOnKeptConnections() + m_engines[1].runsOnKeptConnections();
    }

private:
    void waitForModel() const
    {
        const TimePoint end = currentTime() + StartLimit;
        while (!m_hasReports && currentTime() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        // The engine's next reports come over the connection that is kept after the first.
        std::this_thread::sleep_for(makeSettings().endpoints.reportPeriod * 3);
    }

    boost::asio::io_context m_loop{1};
    std::array<StrayEndpoint, 2> m_engines;
    StrayEndpoint m_register;
    TimerService m_timers;
    Metrics m_metrics;
    ServingGate m_gate;
    OnceRegister m_onceRegister;
    std::atomic<bool> m_hasReports = false;
    CallerThread m_callers;
    EndpointThread m_endpoints;
    std::thread m_endpointThread;
};

void checkOwnAnswer(const ClientResponse &response, const std::string &target)
{
    BOOST_CHECK_EQUAL(response.result_int(), 200);
    BOOST_CHECK_EQUAL(response.body(), R"({"answer":")" + target + R"("})");
}

} // namespace

// Guards against a stray refusal on a kept connection that is passed to the caller of a call that ran.
BOOST_AUTO_TEST_CASE(unsafe_call_is_answered_by_a_stray)
{
    for (const Echo echo : {Echo::Never, Echo::Always}) {
        Fixture fixture(echo);
        checkOwnAnswer(Fixture::call(http::verb::get, "/services/dues/list"), "/list");
        checkOwnAnswer(Fixture::call(http::verb::post, "/services/dues/pay"), "/pay");
        BOOST_CHECK_EQUAL(fixture.service().runs(), 2);
    }
}

BOOST_AUTO_TEST_CASE(safe_call_is_answered_by_a_stray)
{
    for (const Echo echo : {Echo::Never, Echo::Always}) {
        Fixture fixture(echo);
        checkOwnAnswer(Fixture::call(http::verb::get, "/services/dues/list"), "/list");
        checkOwnAnswer(Fixture::call(http::verb::get, "/services/dues/owner"), "/owner");
        BOOST_CHECK_EQUAL(fixture.service().runsOnKeptConnections(), echo == Echo::Always ? 1 : 0);
    }
}

// Guards against a stray that is recorded as the outcome of an idempotency key.
BOOST_AUTO_TEST_CASE(stray_becomes_the_outcome_of_a_key)
{
    for (const Echo echo : {Echo::Never, Echo::Always}) {
        Fixture fixture(echo);
        checkOwnAnswer(Fixture::call(http::verb::get, "/services/dues/list"), "/list");
        checkOwnAnswer(Fixture::call(http::verb::post, "/services/dues/pay", "key-1"), "/pay");
        const ClientResponse replay = Fixture::call(http::verb::post, "/services/dues/pay", "key-1");
        checkOwnAnswer(replay, "/pay");
        BOOST_CHECK_EQUAL(replay["Idempotency-Replayed"], "true");
        BOOST_CHECK_EQUAL(fixture.service().runs(), 2);
    }
}

// Guards against a stray "ran: no" on a connection that reports were read from: it sent a request that may run once to the next engine.
BOOST_AUTO_TEST_CASE(stray_refusal_sends_a_request_that_may_run_once_to_the_next_engine)
{
    constexpr std::uint32_t Requests = 4;
    for (const Echo echo : {Echo::Never, Echo::Always}) {
        Fixture fixture(echo);
        for (std::uint32_t count = 0; count < Requests; ++count) {
            checkOwnAnswer(Fixture::call(http::verb::post, "/v1/completions", {}, ModelCall), "/v1/completions");
        }
        BOOST_CHECK_EQUAL(fixture.engineRuns(), Requests);
        BOOST_CHECK_EQUAL(fixture.engineRunsOnKeptConnections() > 0, echo == Echo::Always);
    }
}

// Guards against a copy of the refusal of an earlier exchange, before or behind a response, that passes for the answer to a call or sends a
// request that may run once to the next engine; also where the caller returns with the same call.
BOOST_AUTO_TEST_CASE(copy_of_an_earlier_refusal_is_taken_for_the_answer)
{
    constexpr std::uint32_t Requests = 4;
    for (const Extra extra : {Extra::CopyBefore, Extra::CopyBehind, Extra::CopyBehindInParts}) {
        for (const Echo echo : {Echo::Never, Echo::Always}) {
            Fixture fixture(echo, extra);
            for (std::uint32_t count = 0; count < Requests; ++count) {
                checkOwnAnswer(Fixture::call(http::verb::post, "/v1/completions", {}, ModelCall), "/v1/completions");
                checkOwnAnswer(Fixture::call(http::verb::get, "/services/dues/list"), "/list");
                checkOwnAnswer(Fixture::call(http::verb::post, "/services/dues/pay", "key-1"), "/pay");
            }
            BOOST_CHECK_EQUAL(fixture.engineRuns(), Requests);
            BOOST_CHECK_EQUAL(fixture.service().runs(), Requests + 1);
            if (extra == Extra::CopyBefore && echo == Echo::Always) {
                BOOST_CHECK_GE(fixture.engineRunsOnKeptConnections(), 1);
            }
        }
    }
}
