#include "details/wavecontroller.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;
using namespace Cornelquay::Details;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(nextStepFollowsFromRecordsAndPlatformList)
{
    struct StepCase {
        const char *label;
        ListedState state;
        std::uint64_t listedIncarnation;
        std::int64_t listedMaintainedAt;
        std::chrono::milliseconds sinceBeginBefore;
        OutageStep expected;
    };
    const StepCase cases[] = {
        {"granted", ListedState::Live, 1, 100, -1s, OutageStep::Drain},
        {"granted, but not begun before the time limit", ListedState::Live, 1, 100, 1s, OutageStep::EndUnmaintained},
        {"draining", ListedState::Draining, 1, 100, -1s, OutageStep::Wait},
        {"drained", ListedState::Drained, 1, 100, 1s, OutageStep::Reboot},
        {"rebooting", ListedState::Rebooting, 1, 100, 1s, OutageStep::Wait},
        {"rebooted, new incarnation not enrolled yet", ListedState::Live, 2, 200, 1s, OutageStep::Wait},
        {"rebooted and enrolled", ListedState::Live, 1, 200, 1s, OutageStep::EndMaintained},
        {"leaving for good", ListedState::Leaving, 1, 100, 1s, OutageStep::Wait},
    };
    const WallTime now = wallNow();
    for (const StepCase &entry : cases) {
        InstanceEntry instance;
        instance.incarnation = 1;
        instance.maintainedAtMs = 100;
        instance.beginDeadline = toUnixMilliseconds(now - entry.sinceBeginBefore);
        ListedInstance listed;
        listed.state = entry.state;
        listed.incarnation = entry.listedIncarnation;
        listed.maintainedAtMs = entry.listedMaintainedAt;
        BOOST_TEST((nextStep(instance, &listed, now) == entry.expected), entry.label);
    }
    BOOST_TEST((nextStep(InstanceEntry{}, nullptr, now) == OutageStep::Wait));
}
