// slow_disk_node: a node on a slow disk. Runs a node with the given settings, and makes each sync to stable storage take longer.
//   --settings FILE      the node's settings
//   --sync-delay TIME    time added to each sync, such as 400ms
#include "hemlockhill/failure.h"
#include "hemlockhill/log.h"
#include "hemlockhill/node.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/world.h"

#include <boost/program_options.hpp>

#include <dlfcn.h>
#include <unistd.h>

#include <iostream>
#include <string>
#include <thread>

namespace
{

using namespace Hemlockhill;
namespace options = boost::program_options;

using Sync = int (*)(int);

Duration syncDelay{0};

int syncLate(const char *function, int file)
{
    std::this_thread::sleep_for(syncDelay);
    return reinterpret_cast<Sync>(dlsym(RTLD_NEXT, function))(file);
}

void run(int argc, char **argv)
{
    std::string file;
    std::string delay;
    options::options_description description;
    description.add_options()("settings", options::value(&file)->required())("sync-delay", options::value(&delay)->required());
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    syncDelay = parseDuration(delay).value();
    const Settings settings = readSettings(file);
    startLogging("hemlockhill", settings.vm.value, settings.dataCentre.value);
    runNode(settings, file);
}

} // namespace

// These definitions take the place of the system's for the whole program.
extern "C" int fsync(int file)
{
    return syncLate("fsync", file);
}

extern "C" int fdatasync(int file)
{
    return syncLate("fdatasync", file);
}

int main(int argc, char **argv)
{
    try {
        run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "slow_disk_node: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
