#include "jobs/jobcodec.h"
#include "scheduling/scheduler.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

/** A scheduler on a virtual clock whose batches are stored at once. */
struct StoredScheduler {
    Scheduler scheduler{{}, 1, {}};
    BootTime now{1000000ms};
    std::int64_t wallMs = 1000000;
    std::map<std::string, std::string> stored;

    StoredScheduler()
    {
        auto policy = std::make_shared<FleetPolicy>();
        policy->queues["queue"].terms.pool = "pool";
        scheduler.setPolicy(policy);
    }

    void run(std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds passed{0}; passed < duration; passed += 500ms) {
            now += 500ms;
            wallMs += 500;
            scheduler.advance(now, wallMs);
            store();
        }
    }

    /** Stores as the platform does: removals are appended behind the records of their batch. */
    void store()
    {
        const RecordBatch batch = scheduler.takeBatch();
        for (const auto &[key, bytes] : batch.records) {
            stored[key] = bytes;
        }
        for (const JobId &job : batch.dropped) {
            stored.erase(job);
        }
        scheduler.handleBatchStored(batch.number, now);
    }
};

JobRecord makeRecord(const std::string &id, const std::string &account)
{
    JobRecord record;
    record.id = id;
    record.queue = "queue";
    record.account = account;
    record.terms.pool = "pool";
    return record;
}

JobRecord makeJob(const std::string &id, const std::string &account)
{
    JobRecord record = makeRecord(id, account);
    record.spec.steps.resize(1);
    record.spec.steps.front().count = 1;
    return record;
}

}

// Guards against memory that grows with every cancel of a job that does not exist, and against a cancel that is forgotten too soon.
BOOST_AUTO_TEST_CASE(aCancelThatCameBeforeItsJobIsForgottenLikeAClosedJob)
{
    StoredScheduler fleet;
    fleet.scheduler.cancelEarly(makeRecord("one", "a"), fleet.wallMs);
    fleet.scheduler.cancelEarly(makeRecord("two", "a"), fleet.wallMs);
    fleet.run(70s);
    BOOST_TEST(fleet.scheduler.findEarlyCancellation("one") != nullptr);
    BOOST_TEST(!fleet.scheduler.stateOf("one").has_value());
    BOOST_TEST(fleet.scheduler.findJob("one") == nullptr);
    BOOST_TEST(!fleet.scheduler.cancel("one", fleet.wallMs).known);
    BOOST_TEST(fleet.scheduler.counts().openJobs == 0U);
    // The client sends one of the cancels again.
    fleet.scheduler.cancelEarly(makeRecord("two", "a"), fleet.wallMs);
    fleet.run(70s);
    BOOST_TEST(fleet.scheduler.findEarlyCancellation("one") == nullptr);
    BOOST_TEST(fleet.scheduler.findEarlyCancellation("two") != nullptr);
    fleet.run(70s);
    BOOST_TEST(fleet.scheduler.findEarlyCancellation("two") == nullptr);
    BOOST_TEST(fleet.scheduler.counts().heldBytes == 0U);
    BOOST_TEST(fleet.stored.empty());
}

// Guards against a new owner that does not know of a cancel, or that takes it for a job.
BOOST_AUTO_TEST_CASE(aCancelThatCameBeforeItsJobIsKeptOverAChangeOfTheOwner)
{
    StoredScheduler former;
    former.scheduler.cancelEarly(makeRecord("one", "a"), former.wallMs);
    former.store();
    BOOST_REQUIRE(former.stored.count("one") == 1U);
    StoredScheduler fleet;
    fleet.scheduler.restore(*decodeJob(former.stored["one"]), fleet.now, fleet.wallMs);
    BOOST_REQUIRE(fleet.scheduler.findEarlyCancellation("one") != nullptr);
    BOOST_TEST(fleet.scheduler.findEarlyCancellation("one")->account == "a");
    BOOST_TEST(!fleet.scheduler.stateOf("one").has_value());
    fleet.run(125s);
    BOOST_TEST(fleet.scheduler.findEarlyCancellation("one") == nullptr);
}

// Guards against a job that counts as stored, and is shown as cancelled, with the batch of another account's cancel of its id.
BOOST_AUTO_TEST_CASE(aJobThatReplacesACancelIsNotStoredWithIt)
{
    StoredScheduler fleet;
    fleet.scheduler.cancelEarly(makeRecord("one", "a"), fleet.wallMs);
    const RecordBatch cancelled = fleet.scheduler.takeBatch();
    const SubmitOutcome outcome = fleet.scheduler.submit(makeJob("one", "b"), fleet.now, fleet.wallMs);
    BOOST_TEST((outcome.kind == SubmitOutcome::Kind::Added));
    fleet.scheduler.handleBatchStored(cancelled.number, fleet.now);
    BOOST_TEST(!fleet.scheduler.stateOf("one").has_value());
    fleet.store();
    BOOST_TEST(fleet.scheduler.isStored(outcome.batch));
    BOOST_TEST((fleet.scheduler.stateOf("one") == JobState::Queued));
    BOOST_TEST(fleet.scheduler.counts().openJobs == 1U);
}

// Guards against the removal of a forgotten job that is stored behind a new job with its id, which the next owner then does not know.
BOOST_AUTO_TEST_CASE(theRemovalOfAForgottenJobDoesNotRemoveANewOneWithItsId)
{
    StoredScheduler fleet;
    fleet.scheduler.submit(makeJob("one", "a"), fleet.now, fleet.wallMs);
    fleet.scheduler.cancel("one", fleet.wallMs);
    fleet.store();
    fleet.now += 200s;
    fleet.wallMs += 200000;
    fleet.scheduler.advance(fleet.now, fleet.wallMs);
    BOOST_REQUIRE(fleet.scheduler.findJob("one") == nullptr);
    // The batch before is still being stored, so the removal waits.
    fleet.scheduler.submit(makeJob("one", "a"), fleet.now, fleet.wallMs);
    fleet.store();
    BOOST_TEST((fleet.scheduler.stateOf("one") == JobState::Queued));
    BOOST_TEST(fleet.stored.count("one") == 1U);
}
