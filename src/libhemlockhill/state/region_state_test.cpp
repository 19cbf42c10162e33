// Tests of the region's state machine: revisions, concurrent operators, resent commands, validation, snapshots.
#include "hemlockhill/region_state.h"

#include "hemlockhill/language.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

CommandRequest command(std::string_view statement)
{
    return std::get<CommandRequest>(parseStatement(statement));
}

Reason reasonOf(const CommandOutcome &outcome)
{
    return std::get<Refusal>(outcome).reason;
}

RegionStateMachine populated()
{
    RegionStateMachine machine;
    for (const char *statement : {"declare endpoint r1 address 127.0.0.1:9001 in ktm-1 memory 80GB",
                                  "declare endpoint p1 address 127.0.0.1:9002 in ktm-1 kind plain-service",
                                  "declare service drafts priority interactive",
                                  "declare service register once-only endpoints p1",
                                  "declare model scribe version v1 weights 12GB kv 2GB service drafts",
                                  "declare adapter bagmati for scribe version v1 weights 100MB",
                                  "pin model scribe on r1",
                                  "drain endpoint r1 operation op-1"}) {
        BOOST_REQUIRE(std::holds_alternative<CommandAccepted>(machine.apply(command(statement))));
    }
    return machine;
}

} // namespace

BOOST_AUTO_TEST_CASE(of_two_commands_at_the_same_revision_only_the_first_is_accepted)
{
    RegionStateMachine machine = populated();
    const auto first = machine.apply(command("admit endpoint r1 at 8"));
    const auto second = machine.apply(command("withdraw adapter bagmati at 8"));
    BOOST_TEST(std::get<CommandAccepted>(first).revision.value == 9U);
    BOOST_CHECK(reasonOf(second) == Reason::RevisionConflict);
    BOOST_TEST(*std::get<Refusal>(second).currentRevision == 9U);
    BOOST_TEST(machine.state().adapters.size() == 1U);
}

BOOST_AUTO_TEST_CASE(resent_command_returns_its_first_answer)
{
    RegionStateMachine machine = populated();
    const auto first = machine.apply(command("admit endpoint r1 at 8 operation op-2"));
    const auto resent = machine.apply(command("admit endpoint r1 at 8 operation op-2"));
    BOOST_CHECK(first == resent);
    BOOST_TEST(machine.state().revision.value == 9U);
}

BOOST_AUTO_TEST_CASE(reused_operation_id_is_refused)
{
    RegionStateMachine machine = populated();
    BOOST_CHECK(reasonOf(machine.apply(command("admit endpoint r1 operation op-1"))) == Reason::KeyReused);
    BOOST_TEST(machine.state().revision.value == 8U);
}

BOOST_AUTO_TEST_CASE(command_that_changes_nothing_keeps_the_revision)
{
    RegionStateMachine machine = populated();
    for (const char *statement :
         {"drain endpoint r1", "declare service drafts priority interactive", "change model scribe version v1 at 8"}) {
        BOOST_TEST(std::get<CommandAccepted>(machine.apply(command(statement))).revision.value == 8U);
    }
    BOOST_CHECK(reasonOf(machine.apply(command("drain endpoint r1 at 7"))) == Reason::RevisionConflict);
}

BOOST_AUTO_TEST_CASE(change_keeps_fields_that_it_does_not_name)
{
    RegionStateMachine machine = populated();
    machine.apply(command("change service register priority batch"));
    const Service &service = machine.state().services.at(ServiceId{"register"});
    BOOST_CHECK(service.priority == Priority::Batch);
    BOOST_TEST(service.onceOnly);
    BOOST_TEST(service.endpoints.size() == 1U);
    BOOST_CHECK(reasonOf(machine.apply(command("change service nothing priority batch"))) == Reason::UnknownObject);
}

BOOST_AUTO_TEST_CASE(invalid_declarations_changes_and_pins_are_refused)
{
    RegionStateMachine machine = populated();
    const auto refused = [&machine](std::string_view statement, Reason reason) {
        BOOST_TEST_CONTEXT(statement)
        {
            const CommandOutcome outcome = machine.apply(command(statement));
            BOOST_REQUIRE(std::holds_alternative<Refusal>(outcome));
            BOOST_CHECK(reasonOf(outcome) == reason);
        }
    };
    refused("declare model huge version v1 weights 79GB kv 2GB", Reason::InsufficientMemory);
    refused("change model scribe weights 79GB", Reason::InsufficientMemory);
    refused("change model scribe weights 78GB", Reason::InsufficientMemory);
    refused("declare adapter big for scribe version v1 weights 67GB", Reason::InsufficientMemory);
    refused("change endpoint r1 memory 10GB", Reason::InsufficientMemory);
    refused("change endpoint r1 kind plain-service", Reason::ObjectInUse);
    refused("declare endpoint r2 address 127.0.0.1:9001 in ktm-1 memory 80GB", Reason::AlreadyDeclared);
    refused("pin model scribe on p1", Reason::MalformedCommand);
    refused("declare service other endpoints r1", Reason::MalformedCommand);
    refused("declare service other first-token 10s deadline 1s", Reason::MalformedCommand);
    machine.apply(command("unpin model scribe on r1"));
    refused("withdraw endpoint r1", Reason::InsufficientMemory);
}

BOOST_AUTO_TEST_CASE(names_are_validated_in_commands_that_were_not_parsed)
{
    RegionStateMachine machine;
    CommandRequest request;
    Service service;
    service.id = ServiceId{"two words"};
    request.command = DeclareService{service};
    BOOST_CHECK(reasonOf(machine.apply(request)) == Reason::MalformedCommand);
}

BOOST_AUTO_TEST_CASE(the_last_controller_is_replaced_but_not_withdrawn)
{
    RegionStateMachine machine;
    machine.apply(command("declare vm vm-a address 127.0.0.1:7300 in ktm-1 controller"));
    BOOST_CHECK(reasonOf(machine.apply(command("withdraw vm vm-a"))) == Reason::ObjectInUse);
    BOOST_CHECK(reasonOf(machine.apply(command("replace vm vm-a by vm-b address 127.0.0.1:7300 in ktm-2"))) == Reason::ObjectInUse);
    BOOST_CHECK(reasonOf(machine.apply(command("replace vm vm-a by vm-a address 127.0.0.1:7300 in ktm-2 controller")))
                == Reason::AlreadyDeclared);
    const auto outcome = machine.apply(command("replace vm vm-a by vm-b address 127.0.0.1:7300 in ktm-2 controller"));
    BOOST_CHECK(std::holds_alternative<CommandAccepted>(outcome));
    BOOST_TEST(machine.state().vms.size() == 1U);
    BOOST_TEST(machine.state().vms.contains(VmId{"vm-b"}));
}

BOOST_AUTO_TEST_CASE(objects_in_use_are_not_withdrawn)
{
    RegionStateMachine machine = populated();
    BOOST_CHECK(reasonOf(machine.apply(command("withdraw model scribe"))) == Reason::ObjectInUse);
    BOOST_CHECK(reasonOf(machine.apply(command("withdraw service drafts"))) == Reason::ObjectInUse);
    BOOST_CHECK(reasonOf(machine.apply(command("withdraw endpoint p1"))) == Reason::ObjectInUse);
    BOOST_CHECK(reasonOf(machine.apply(command("withdraw endpoint r9"))) == Reason::UnknownObject);
    BOOST_CHECK(reasonOf(machine.apply(command("declare adapter a for nothing version v1 weights 1GB"))) == Reason::UnknownObject);
    BOOST_TEST(machine.state().revision.value == 8U);
}

BOOST_AUTO_TEST_CASE(snapshot_restores_state_and_operations)
{
    RegionStateMachine machine = populated();
    RegionStateMachine restored = RegionStateMachine::restore(machine.snapshot());
    BOOST_CHECK(restored.state() == machine.state());
    BOOST_TEST(restored.snapshot() == machine.snapshot());
    const auto resent = restored.apply(command("drain endpoint r1 operation op-1"));
    BOOST_TEST(std::get<CommandAccepted>(resent).revision.value == 8U);
}

BOOST_AUTO_TEST_CASE(log_entries_round_trip)
{
    const CommandRequest request = command("declare model m version v1 weights 2GB kv 1GB at 3 operation op-9");
    BOOST_CHECK(decodeCommandRequest(encode(request)) == request);
    BOOST_CHECK_THROW(decodeCommandRequest("{}"), DecodeError);
    BOOST_CHECK_THROW(decodeCommandRequest("{\"statement\": \"show models\"}"), DecodeError);
    BOOST_CHECK_THROW(RegionStateMachine::restore("[]"), DecodeError);
}
