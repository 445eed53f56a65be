#include "standin/platformserver.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

FleetStandinSettings smallFleet()
{
    FleetStandinSettings settings;
    settings.pools = {{"a", 2}};
    settings.zones = {"z"};
    settings.listLag = 0ms;
    settings.rebootTime = 0ms;
    return settings;
}

/** The stand-in of the platform, with its log reached directly and over HTTP. */
struct Setup {
    std::shared_ptr<MemoryLog> memory = std::make_shared<MemoryLog>(10);
    FleetStandin fleet{smallFleet()};
    PlatformServer server{memory, fleet, 2, 0};

    std::vector<LogService> services()
    {
        std::vector<LogService> result;
        result.emplace_back(memory);
        result.emplace_back(HttpLog({"127.0.0.1", server.logPorts()[0]}));
        return result;
    }
    PlatformService platform()
    {
        return PlatformService({"127.0.0.1", server.platformPort()});
    }
};

LogQuery from(Offset offset)
{
    const SteadyTime now = steadyNow();
    return {offset, 100, now, now + 5s};
}

}

BOOST_AUTO_TEST_CASE(memoryLogAndHttpLogBehaveAlike)
{
    Setup setup;
    Offset expected = 0;
    for (LogService &log : setup.services()) {
        BOOST_TEST(append(log, std::string("a\0b", 3), steadyNow() + 5s)->offset == expected);
        BOOST_TEST(append(log, "second", steadyNow() + 5s)->offset == expected + 1);
        const auto result = read(log, from(expected));
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result->end == expected + 2);
        BOOST_TEST(result->entries.size() == 2U);
        BOOST_TEST(result->entries[0].bytes == std::string("a\0b", 3));
        BOOST_TEST(result->entries[1].offset == expected + 1);
        BOOST_TEST(result->entries[0].appendedAtMs > 0);
        BOOST_TEST(read(log, from(expected + 2))->entries.empty());
        expected += 2;
    }
}

BOOST_AUTO_TEST_CASE(oldestEntriesAreDroppedBeyondTheLimit)
{
    Setup setup;
    for (int index = 0; index < 25; ++index) {
        setup.memory->append(std::to_string(index), steadyNow());
    }
    for (LogService &log : setup.services()) {
        const auto result = read(log, from(0));
        BOOST_TEST(result->head == 15U);
        BOOST_TEST(result->entries.front().offset == 15U);
        BOOST_TEST(result->entries.size() == 10U);
    }
}

BOOST_AUTO_TEST_CASE(errorsTellWhetherACallHadAnEffect)
{
    Setup setup;
    LogService log = HttpLog({"127.0.0.1", setup.server.logPorts()[0]});
    LogService other = HttpLog({"127.0.0.1", setup.server.logPorts()[1]});
    ListenerFaults down;
    down.down = true;
    setup.server.setLogFaults(0, down);
    BOOST_TEST((append(log, "x", steadyNow() + 5s).error() == LogError::NotDone));
    BOOST_TEST((read(log, from(0)).error() == LogError::NotDone));
    BOOST_TEST(append(other, "x", steadyNow() + 5s).has_value());
    ListenerFaults lost;
    lost.loseAppendAnswers = true;
    setup.server.setLogFaults(0, lost);
    BOOST_TEST((append(log, "y", steadyNow() + 5s).error() == LogError::Unknown));
    BOOST_TEST(read(other, from(0))->end == 2U);
    ListenerFaults slow;
    slow.delay = 500ms;
    setup.server.setLogFaults(0, slow);
    BOOST_TEST((append(log, "z", steadyNow() + 50ms).error() == LogError::Unknown));
    LogService unreachable = HttpLog({"127.0.0.1", 1});
    BOOST_TEST((append(unreachable, "z", steadyNow() + 1s).error() == LogError::NotDone));
}

BOOST_AUTO_TEST_CASE(drainAndRebootAreFencedAndIdempotent)
{
    Setup setup;
    PlatformService platform = setup.platform();
    const auto deadline = steadyNow() + 20s;
    const FencedCommand command{"a-1", 5, wallNow() + 60s};
    BOOST_TEST(platform.instances(deadline)->size() == 2U);
    BOOST_TEST(platform.drain(command, deadline).has_value());
    BOOST_TEST(platform.drain(command, deadline).has_value());
    BOOST_TEST((platform.drain({"a-1", 4, wallNow() + 60s}, deadline).error() == PlatformError::Refused));
    BOOST_TEST((platform.drain({"a-2", 5, wallNow() - 1s}, deadline).error() == PlatformError::Refused));
    BOOST_TEST((platform.drain({"zz", 5, wallNow() + 60s}, deadline).error() == PlatformError::Refused));
    const auto stateOf = [&](const std::string &name) {
        const auto listed = platform.instances(deadline);
        for (const ListedInstance &instance : *listed) {
            if (instance.name == name) {
                return instance;
            }
        }
        return ListedInstance{};
    };
    while (stateOf("a-1").state != ListedState::Drained && steadyNow() < deadline) {
        std::this_thread::yield();
    }
    BOOST_TEST(platform.reboot(command, deadline).has_value());
    while (stateOf("a-1").incarnation != 2 && steadyNow() < deadline) {
        std::this_thread::yield();
    }
    BOOST_TEST((stateOf("a-1").state == ListedState::Live));
    setup.server.setListDown(true);
    BOOST_TEST((platform.instances(deadline).error() == PlatformError::NotDone));
}
