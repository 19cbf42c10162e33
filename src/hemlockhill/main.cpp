// Entry point of the hemlockhill program: parses the subcommand and its arguments, and maps errors to exit codes.
#include "ctl.h"
#include "exit_code.h"
#include "hemlockhill/failure.h"
#include "hemlockhill/log.h"
#include "hemlockhill/node.h"
#include "hemlockhill/settings.h"
#include "platform_node.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace Hemlockhill;
namespace options = boost::program_options;

constexpr const char *UsageText = R"(Usage:
  hemlockhill serve --settings FILE                       run one node
  hemlockhill gateway [--settings FILE]                   run one node on the platform's machines
  hemlockhill ctl --at HOST:PORT ['STATEMENT'...]         send commands and queries; without a statement,
                                                          read --script FILE or standard input, one per line
      --at HOST:PORT        repeatable; further nodes are tried in turn
      --json                print answers as JSON
      --operation PREFIX    give the command in line 7 the operation id PREFIX-7, so that the script can be resent
      --timeout DURATION    timeout of each step of an exchange with a node (default 30s)
  hemlockhill check FILE                                  check a settings file
  hemlockhill version                                     print the version

Exit codes: 0 success, 1 refused or failed, 2 wrong arguments, settings or statement, 3 unreachable.
)";

int reportSettingsFaults(const SettingsError &error)
{
    for (const SettingsFault &fault : error.faults()) {
        std::cerr << fault.path << ": " << fault.problem << '\n';
    }
    return ExitCode::Usage;
}

options::variables_map parse(const std::vector<std::string> &arguments,
                             const options::options_description &description,
                             const options::positional_options_description &positional = {})
{
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(description).positional(positional).run(), values);
    options::notify(values);
    return values;
}

int serve(const std::vector<std::string> &arguments)
{
    std::string file;
    options::options_description description;
    description.add_options()("settings", options::value(&file)->required());
    parse(arguments, description);
    const Settings settings = readSettings(file);
    startLogging("hemlockhill", settings.vm.value, settings.dataCentre.value);
    runNode(settings, file);
    return ExitCode::Success;
}

int gateway(const std::vector<std::string> &arguments)
{
    std::string file;
    options::options_description description;
    description.add_options()("settings", options::value(&file));
    parse(arguments, description);
    Platform::runPlatformNode(file.empty() ? Platform::settingsFileFromEnvironment() : std::filesystem::path(file));
    return ExitCode::Success;
}

int ctl(const std::vector<std::string> &arguments)
{
    CtlOptions ctlOptions;
    options::options_description description;
    description.add_options()("at", options::value(&ctlOptions.at)->required()->composing())("json",
                                                                                             options::bool_switch(&ctlOptions.json))(
        "operation", options::value(&ctlOptions.operationPrefix))("timeout", options::value(&ctlOptions.timeout))(
        "script", options::value(&ctlOptions.script))("statement", options::value(&ctlOptions.statements));
    options::positional_options_description positional;
    positional.add("statement", -1);
    parse(arguments, description, positional);
    return runCtl(ctlOptions);
}

int check(const std::vector<std::string> &arguments)
{
    std::string file;
    options::options_description description;
    description.add_options()("file", options::value(&file)->required());
    options::positional_options_description positional;
    positional.add("file", 1);
    parse(arguments, description, positional);
    readSettings(file);
    std::cout << file << ": no faults\n";
    return ExitCode::Success;
}

int version()
{
    std::cout << "hemlockhill " HEMLOCKHILL_VERSION "\n"
              << "peer protocol 1\n"
              << "engine API 1\n";
    return ExitCode::Success;
}

int run(const std::vector<std::string> &arguments)
{
    // Until the node installs its own handler, a SIGHUP that requests a reload must not terminate the process.
    std::signal(SIGHUP, SIG_IGN);
    const std::string subcommand = arguments.empty() ? "" : arguments.front();
    const std::vector<std::string> rest(arguments.begin() + (arguments.empty() ? 0 : 1), arguments.end());
    if (subcommand == "serve") {
        return serve(rest);
    }
    if (subcommand == "gateway") {
        return gateway(rest);
    }
    if (subcommand == "ctl") {
        return ctl(rest);
    }
    if (subcommand == "check") {
        return check(rest);
    }
    if (subcommand == "version") {
        return version();
    }
    if (subcommand == "--help" || subcommand == "help") {
        std::cout << UsageText;
        return ExitCode::Success;
    }
    std::cerr << UsageText;
    return ExitCode::Usage;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(std::vector<std::string>(argv + 1, argv + argc));
    } catch (const SettingsError &error) {
        return reportSettingsFaults(error);
    } catch (const EnvironmentError &error) {
        std::cerr << "hemlockhill: " << error.what() << '\n';
        return ExitCode::Unreachable;
    } catch (const options::error &error) {
        std::cerr << "hemlockhill: " << error.what() << "\n\n" << UsageText;
        return ExitCode::Usage;
    } catch (const std::exception &error) {
        std::cerr << "hemlockhill: " << error.what() << '\n';
        return ExitCode::Refused;
    }
}
