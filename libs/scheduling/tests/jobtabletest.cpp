#include "details/jobtable.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Cornelquay;

namespace {

JobEntry makeEntry(const JobId &id)
{
    JobRecord record;
    record.id = id;
    record.spec.steps = {StepSpec{}};
    return JobEntry(std::move(record));
}

std::vector<JobId> openIds(const JobTable &table)
{
    std::vector<JobId> ids;
    for (const JobEntry *entry : table.open()) {
        ids.push_back(entry->job.record().id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

}

// Guards against an index that names closed jobs, the address of an erased one, or a job twice.
BOOST_AUTO_TEST_CASE(theIndexNamesEachOpenJobOnce)
{
    JobTable table;
    for (const JobId id : {"a", "b", "c", "d"}) {
        table.tryEmplace(id, makeEntry(id));
    }
    table.tryEmplace("a", makeEntry("a"));
    table.insertOrAssign("b", makeEntry("b"));
    BOOST_TEST(openIds(table) == std::vector<JobId>({"a", "b", "c", "d"}), boost::test_tools::per_element());
    table.at("b").job.cancel(1);
    table.at("c").job.cancel(1);
    // The index has not been read since the job was closed.
    table.erase(table.find("c"));
    BOOST_TEST(openIds(table) == std::vector<JobId>({"a", "d"}), boost::test_tools::per_element());
    BOOST_TEST(table.size() == 3U);
}
