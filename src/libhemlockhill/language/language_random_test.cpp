// Fuzz test of the statement parser with mutated statements: each parses, or fails with a column inside the statement or one past its end.
#include "hemlockhill/language.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

constexpr std::uint32_t Seed = 20'261;
constexpr int StatementCount = 100'000;

const std::vector<std::string> Seeds{
    "declare endpoint r1 address 127.0.0.1:9001 in ktm-1 memory 80GB kind runner fencing ignored at 4 operation op-1",
    "declare model scribe version v1 weights 12GB kv 2GB copies 2 service drafts",
    "declare adapter bagmati for scribe version v3 weights 100MB pinned",
    "declare service drafts priority interactive first-token 470ms between-tokens 25ms deadline 30s once-only endpoints a,b",
    "declare vm vm-a address [::1]:7300 in ktm-1 controller",
    "replace vm vm-a by vm-b address 127.0.0.1:7300 in ktm-2",
    "change service drafts priority batch endpoints -",
    "withdraw model scribe",
    "pin model scribe on r1",
    "set loads-per-second 1.4",
    "unset move-weight",
    "show journal last 1h model scribe",
    "explain request vm-a-17-1",
    "plan drain endpoint r1 at 18446744073709551615",
};

class StatementGenerator
{
public:
    std::string next()
    {
        std::string text = Seeds[randomBelow(Seeds.size())];
        for (std::size_t count = randomBelow(6); count > 0; --count) {
            mutate(text);
        }
        return text;
    }

private:
    std::size_t randomBelow(std::size_t limit) { return boost::random::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random); }

    void mutate(std::string &text)
    {
        const std::size_t position = randomBelow(text.size() + 1);
        const std::string &other = Seeds[randomBelow(Seeds.size())];
        switch (randomBelow(5)) {
        case 0:
            text.insert(position, 1, static_cast<char>(randomBelow(256)));
            break;
        case 1:
            text.erase(position, randomBelow(12));
            break;
        case 2:
            text.insert(position, other.substr(randomBelow(other.size()), randomBelow(20)));
            break;
        case 3:
            text += " " + std::string(randomBelow(300), static_cast<char>('0' + randomBelow(10)));
            break;
        default:
            text.resize(position);
        }
    }

    boost::random::mt19937 m_random{Seed};
};

} // namespace

BOOST_AUTO_TEST_CASE(mutated_statements_parse_or_fail_with_a_valid_column)
{
    StatementGenerator generator;
    int parsedCount = 0;
    for (int number = 0; number < StatementCount; ++number) {
        const std::string text = generator.next();
        try {
            const Statement statement = parseStatement(text);
            ++parsedCount;
            if (const auto *request = std::get_if<CommandRequest>(&statement)) {
                const std::string formatted = format(*request);
                BOOST_REQUIRE_MESSAGE(parseStatement(formatted) == statement,
                                      "seed " << Seed << ", statement " << number << ": " << formatted);
            }
        } catch (const LanguageError &error) {
            const bool inside = error.column() >= 1 && error.column() <= text.size() + 1 && !error.expected().empty();
            BOOST_REQUIRE_MESSAGE(inside, "seed " << Seed << ", statement " << number << ", column " << error.column() << ": " << text);
        }
    }
    // The mutations must produce many valid and many invalid statements.
    BOOST_TEST(parsedCount > StatementCount / 10);
    BOOST_TEST(parsedCount < StatementCount * 9 / 10);
}
