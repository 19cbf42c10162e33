// Tests that what the gateway collects of an answer, which may still be sent with its length, counts as an answer.
#include "hemlockhill/buffer_budget.h"
#include "node/gateway_testing.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

constexpr std::uint16_t FirstPort = 9'376;
constexpr std::size_t PartBytes = 200'000;
constexpr Duration Pause = std::chrono::milliseconds(300);

// A gateway whose endpoints answer with two parts and a pause between them.
class PausedAnswers
{
public:
    explicit PausedAnswers(Bytes answers)
        : budget(std::make_shared<BufferBudget>(answers))
        , m_fixture(scenario(budget), [this](boost::asio::io_context &loop, const Address &address) {
            return std::make_shared<HttpServer>(
                loop,
                address,
                HttpServerLimits{},
                [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                    ++runs;
                    responder->begin(signedAnswer(request));
                    responder->write(std::string(PartBytes, 'x'));
                    m_fixture.after(Pause, [this, responder] {
                        usedInPause = budget->used();
                        responder->end();
                    });
                },
                [](Reason) {});
        })
    {
    }

    std::optional<HttpResponse> exchange() { return m_fixture.exchange("/x/1"); }
    void waitForRest() { m_fixture.runFor(2 * Pause); }

    std::shared_ptr<BufferBudget> budget;
    // What the budget counted between the two parts.
    std::optional<Bytes> usedInPause;
    int runs = 0;

private:
    static GatewayScenario scenario(const std::shared_ptr<BufferBudget> &budget)
    {
        GatewayScenario scenario{RouteKind::Unsafe, false, Duration(0), FirstPort};
        scenario.answerBudget = budget;
        return scenario;
    }

    GatewayFixture m_fixture;
};

} // namespace

// Guards against answers that endpoints begin and do not go on with taking up any amount of memory at the gateway.
BOOST_AUTO_TEST_CASE(collected_part_of_an_answer_is_counted)
{
    PausedAnswers answers(Bytes{1'000'000});
    const auto answer = answers.exchange();
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->body.size() == PartBytes);
    BOOST_REQUIRE(answers.usedInPause.has_value());
    BOOST_TEST(answers.usedInPause->value == PartBytes);
    answers.waitForRest();
    BOOST_TEST(answers.budget->used().value == 0U);
}

// Guards against a bound that counts and does not act, and against another attempt for a request whose connection was closed for it.
BOOST_AUTO_TEST_CASE(answer_beyond_the_bound_is_given_up)
{
    PausedAnswers answers(Bytes{PartBytes / 2});
    BOOST_TEST(!answers.exchange().has_value());
    // Before the rest of the answer arrived.
    BOOST_TEST(!answers.usedInPause.has_value());
    answers.waitForRest();
    BOOST_TEST(answers.runs == 1);
    BOOST_TEST(answers.budget->used().value == 0U);
}
