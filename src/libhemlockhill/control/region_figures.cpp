// Per-model request statistics of the region.
#include "hemlockhill/region_figures.h"

#include "hemlockhill/failure.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace Hemlockhill
{

namespace
{

namespace json = boost::json;

constexpr std::size_t FigureCount = 7;

// Returns the increase of a total. A total that has decreased was restarted from zero.
std::uint64_t growth(std::uint64_t before, std::uint64_t after)
{
    return after >= before ? after - before : after;
}

void addGrowth(ModelTotals &sum, const ModelTotals &before, const ModelTotals &after)
{
    const bool restarted = after.requests < before.requests;
    const ModelTotals start = restarted ? ModelTotals{} : before;
    sum.requests += growth(start.requests, after.requests);
    sum.attained += growth(start.attained, after.attained);
    sum.refused += growth(start.refused, after.refused);
    sum.retries += growth(start.retries, after.retries);
    sum.tokens += TokenCount{growth(start.tokens.value, after.tokens.value)};
    sum.firstTokenTotal += after.firstTokenTotal - start.firstTokenTotal;
    sum.firstTokens += growth(start.firstTokens, after.firstTokens);
}

} // namespace

std::string encode(const ModelTotalsByModel &figures)
{
    json::object object;
    for (const auto &[model, figure] : figures) {
        object[model.value] = json::array{figure.requests,
                                          figure.attained,
                                          figure.refused,
                                          figure.retries,
                                          figure.tokens.value,
                                          figure.firstTokenTotal.count(),
                                          figure.firstTokens};
    }
    return json::serialize(object);
}

ModelTotalsByModel decodeFigures(std::string_view text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        throw DecodeError("model figures: not a JSON object");
    }
    ModelTotalsByModel figures;
    for (const auto &member : value.get_object()) {
        if (!member.value().is_array() || member.value().get_array().size() != FigureCount) {
            throw DecodeError("model figures: expected a list of " + std::to_string(FigureCount));
        }
        std::uint64_t numbers[FigureCount]{};
        for (std::size_t index = 0; index < FigureCount; ++index) {
            numbers[index] = member.value().get_array()[index].to_number<std::uint64_t>(error);
            if (error) {
                throw DecodeError("model figures: value is not an unsigned integer");
            }
        }
        ModelTotals figure;
        figure.requests = numbers[0];
        figure.attained = numbers[1];
        figure.refused = numbers[2];
        figure.retries = numbers[3];
        figure.tokens = TokenCount{numbers[4]};
        figure.firstTokenTotal = Duration(static_cast<Duration::rep>(numbers[5]));
        figure.firstTokens = numbers[6];
        figures.emplace(ModelId{std::string(member.key())}, figure);
    }
    return figures;
}

std::string FiguresReporter::pending()
{
    m_sending.clear();
    for (const auto &[model, figure] : m_latest) {
        const auto known = m_acknowledged.find(model);
        if (known == m_acknowledged.end() || !(known->second == figure)) {
            m_sending.emplace(model, figure);
        }
    }
    return m_sending.empty() ? std::string() : encode(m_sending);
}

void FiguresReporter::acknowledged()
{
    for (auto &[model, figure] : std::exchange(m_sending, {})) {
        m_acknowledged[model] = figure;
    }
}

void RegionFigures::report(const VmId &node, const ModelTotalsByModel &figures)
{
    ModelTotalsByModel &known = m_nodes[node];
    for (const auto &[model, figure] : figures) {
        ModelTotals &before = known[model];
        ModelTotals &sum = m_sums[model];
        const std::uint64_t requestsBefore = sum.requests;
        addGrowth(sum, before, figure);
        m_newRequests[model] += sum.requests - requestsBefore;
        before = figure;
    }
}

std::vector<ModelDemandCount> RegionFigures::takeDemand()
{
    std::vector<ModelDemandCount> counts;
    for (const auto &[model, requests] : std::exchange(m_newRequests, {})) {
        counts.push_back({model, requests, 0});
    }
    return counts;
}

std::vector<ModelPerformance> RegionFigures::performance() const
{
    std::vector<ModelPerformance> rows;
    for (const auto &[model, figure] : m_sums) {
        ModelPerformance row;
        row.model = model;
        row.requests = figure.requests;
        row.attained = figure.attained;
        row.firstTokenMean = figure.firstTokenMean();
        row.tokens = figure.tokens.value;
        row.retries = figure.retries;
        row.refused = figure.refused;
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace Hemlockhill
