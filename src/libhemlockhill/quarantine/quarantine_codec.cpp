// JSON encoding of commands and snapshots of the quarantine register.
#include "hemlockhill/quarantine.h"

#include "runtime/json_text.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

namespace Hemlockhill
{

namespace
{

namespace json = boost::json;

// Parses a JSON object and passes it to the reader. Exceptions of the JSON library are converted to DecodeError.
template<typename Reader>
auto decode(std::string_view text, const Reader &reader)
{
    return decodingJson([&] { return reader(parseJsonObject(text)); });
}

std::string textOf(const json::object &object, std::string_view key)
{
    return json::value_to<std::string>(object.at(key));
}

std::int64_t millisecondsOf(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime timeOf(const json::object &object, std::string_view key)
{
    return WallTime(std::chrono::milliseconds(object.at(key).to_number<std::int64_t>()));
}

template<typename Unit>
Unit quantityOf(const json::value &value)
{
    return Unit{value.to_number<std::uint64_t>()};
}

json::object encodeStep(const ReportLoss &step)
{
    json::array running;
    for (const Fingerprint fingerprint : step.running) {
        running.emplace_back(fingerprint.value);
    }
    return {{"step", "loss"}, {"loss", step.loss.value}, {"running", std::move(running)}};
}

json::object encodeStep(const StartTrial &step)
{
    return {{"step", "start"}, {"fingerprint", step.fingerprint.value}, {"trial", step.trial.value}, {"endpoint", step.endpoint.value}};
}

json::object encodeStep(const EndTrial &step)
{
    return {{"step", "end"}, {"fingerprint", step.fingerprint.value}, {"trial", step.trial.value}};
}

json::object encodeStep(const ClearSuspect &step)
{
    return {{"step", "clear"}, {"fingerprint", step.fingerprint.value}};
}

json::object encodeSuspect(Fingerprint fingerprint, const Suspect &suspect)
{
    json::array losses;
    for (const Suspect::Loss &loss : suspect.losses) {
        losses.push_back(json::array{loss.loss.value, loss.attributedToOther});
    }
    json::object object{{"fingerprint", fingerprint.value},
                        {"losses", std::move(losses)},
                        {"weight", suspect.weight},
                        {"refusals", suspect.refusals},
                        {"expires", millisecondsOf(suspect.expiresAt)},
                        {"endpoint", suspect.trialEndpoint.value},
                        {"deadline", millisecondsOf(suspect.trialDeadline)}};
    if (suspect.trial) {
        object["trial"] = suspect.trial->value;
    }
    return object;
}

Suspect decodeSuspect(const json::object &object)
{
    Suspect suspect;
    for (const json::value &loss : object.at("losses").as_array()) {
        suspect.losses.push_back({quantityOf<LossId>(loss.as_array().at(0)), loss.as_array().at(1).as_bool()});
    }
    suspect.weight = object.at("weight").to_number<std::uint32_t>();
    suspect.refusals = object.at("refusals").to_number<std::uint32_t>();
    suspect.expiresAt = timeOf(object, "expires");
    suspect.trialEndpoint.value = textOf(object, "endpoint");
    suspect.trialDeadline = timeOf(object, "deadline");
    if (object.contains("trial")) {
        suspect.trial = TrialId{textOf(object, "trial")};
    }
    return suspect;
}

} // namespace

std::string encode(const QuarantineCommand &command)
{
    json::object object = std::visit([](const auto &step) { return encodeStep(step); }, command.step);
    object["time_ms"] = millisecondsOf(command.proposedAt);
    return json::serialize(object);
}

QuarantineCommand decodeQuarantineCommand(std::string_view text)
{
    return decode(text, [](const json::object &object) {
        const std::string kind = textOf(object, "step");
        QuarantineCommand command{timeOf(object, "time_ms"), {}};
        if (kind == "loss") {
            ReportLoss step{quantityOf<LossId>(object.at("loss")), {}};
            for (const json::value &fingerprint : object.at("running").as_array()) {
                step.running.push_back(quantityOf<Fingerprint>(fingerprint));
            }
            command.step = std::move(step);
            return command;
        }
        const auto fingerprint = quantityOf<Fingerprint>(object.at("fingerprint"));
        if (kind == "start") {
            command.step = StartTrial{fingerprint, TrialId{textOf(object, "trial")}, EndpointId{textOf(object, "endpoint")}};
        } else if (kind == "end") {
            command.step = EndTrial{fingerprint, TrialId{textOf(object, "trial")}};
        } else if (kind == "clear") {
            command.step = ClearSuspect{fingerprint};
        } else {
            throw DecodeError("unknown step " + kind);
        }
        return command;
    });
}

std::string QuarantineRegister::snapshot() const
{
    json::array suspects;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        suspects.push_back(encodeSuspect(fingerprint, suspect));
    }
    return json::serialize(json::object{{"now", millisecondsOf(m_now)}, {"suspects", std::move(suspects)}});
}

QuarantineRegister QuarantineRegister::restore(std::string_view snapshot, QuarantineLimits limits)
{
    return decode(snapshot, [limits](const json::object &object) {
        QuarantineRegister machine(limits);
        machine.m_now = timeOf(object, "now");
        for (const json::value &suspect : object.at("suspects").as_array()) {
            machine.m_suspects.emplace(quantityOf<Fingerprint>(suspect.at("fingerprint")), decodeSuspect(suspect.as_object()));
        }
        return machine;
    });
}

} // namespace Hemlockhill
