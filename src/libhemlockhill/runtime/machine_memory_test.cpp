// Tests of reading the memory that the system grants.
#include "hemlockhill/machine_memory.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <unistd.h>

using namespace Hemlockhill;

namespace
{

constexpr std::string_view Meminfo = "MemTotal:       32614328 kB\nMemFree:         1234567 kB\nSwapTotal:             0 kB\n";

// A folder with the files of /proc and /sys, which is removed at the end.
class Root
{
public:
    Root()
    {
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder);
    }
    ~Root() { std::filesystem::remove_all(m_folder); }
    Root(const Root &) = delete;
    Root &operator=(const Root &) = delete;

    void write(const std::string &file, std::string_view text) const
    {
        std::filesystem::create_directories((m_folder / file).parent_path());
        std::ofstream(m_folder / file) << text;
    }
    std::uint64_t memory() const { return availableMemory(m_folder).value_or(Bytes{0}).value; }

private:
    std::filesystem::path m_folder = std::filesystem::temp_directory_path() / ("hemlockhill-memory-" + std::to_string(::getpid()));
};

} // namespace

BOOST_AUTO_TEST_CASE(total_memory_is_read_in_kibibytes)
{
    BOOST_TEST(parseTotalMemory(Meminfo)->value == 32'614'328ULL * 1024);
    BOOST_TEST(parseTotalMemory("MemFree: 5 kB\nMemTotal: 7 kB")->value == 7U * 1024);
    for (const std::string_view text : {"",
                                        "\n",
                                        "MemTotal:",
                                        "MemTotal: kB",
                                        "MemTotal: 0 kB",
                                        "MemTotal: 7 MB",
                                        "MemTotal: -7 kB",
                                        "XMemTotal: 7 kB",
                                        "MemTotal: 18446744073709551615 kB"}) {
        BOOST_TEST(!parseTotalMemory(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(path_in_the_unified_hierarchy_is_found)
{
    BOOST_TEST(*parseCgroupPath("0::/system.slice/node.service\n") == "/system.slice/node.service");
    BOOST_TEST(*parseCgroupPath("12:memory:/old\n0::/\n") == "/");
    for (const std::string_view text : {"", "12:memory:/old\n", "0::", "0::relative", "0::/../other"}) {
        BOOST_TEST(!parseCgroupPath(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(limit_of_a_control_group_is_read_in_bytes)
{
    BOOST_TEST(parseMemoryMax("536870912\n")->value == 536'870'912U);
    for (const std::string_view text : {"", "max\n", "0\n", "-1\n", "5 kB\n", "99999999999999999999\n"}) {
        BOOST_TEST(!parseMemoryMax(text).has_value(), text);
    }
}

// Guards against bounds that follow from the whole machine although the process may use only a part of it.
BOOST_AUTO_TEST_CASE(smallest_limit_of_the_process_counts)
{
    const Root root;
    BOOST_TEST(root.memory() == 0U);
    root.write("proc/meminfo", "MemTotal: 1000 kB\n");
    BOOST_TEST(root.memory() == 1'024'000U);
    root.write("proc/self/cgroup", "0::/slice/node\n");
    BOOST_TEST(root.memory() == 1'024'000U);
    root.write("sys/fs/cgroup/slice/node/memory.max", "max\n");
    BOOST_TEST(root.memory() == 1'024'000U);
    root.write("sys/fs/cgroup/slice/memory.max", "600000\n");
    BOOST_TEST(root.memory() == 600'000U);
    root.write("sys/fs/cgroup/slice/node/memory.max", "500000\n");
    BOOST_TEST(root.memory() == 500'000U);
    root.write("sys/fs/cgroup/slice/node/memory.max", "9000000\n");
    root.write("sys/fs/cgroup/slice/memory.max", "max\n");
    BOOST_TEST(root.memory() == 1'024'000U);
    root.write("proc/self/cgroup", "0::/\n");
    root.write("sys/fs/cgroup/memory.max", "400000\n");
    BOOST_TEST(root.memory() == 400'000U);
}
