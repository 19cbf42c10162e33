// slow_sync: a library for LD_PRELOAD that makes a process see a slow disk. Each sync to stable storage takes HEMLOCKHILL_SYNC_DELAY_MS
// milliseconds longer.
#include <dlfcn.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <thread>

namespace
{

using Sync = int (*)(int);

Sync nextSync(const char *name)
{
    return reinterpret_cast<Sync>(dlsym(RTLD_NEXT, name));
}

void delay()
{
    const char *text = std::getenv("HEMLOCKHILL_SYNC_DELAY_MS");
    if (text != nullptr) {
        std::this_thread::sleep_for(std::chrono::milliseconds(std::strtol(text, nullptr, 10)));
    }
}

} // namespace

extern "C" {

int fsync(int file)
{
    static const Sync next = nextSync("fsync");
    delay();
    return next(file);
}

int fdatasync(int file)
{
    static const Sync next = nextSync("fdatasync");
    delay();
    return next(file);
}
}
