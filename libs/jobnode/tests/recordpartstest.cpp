#include "../src/details/recordparts.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;

namespace {

constexpr std::size_t MaxRecordBytes = 1000;
// The rest of a record is for its key.
constexpr std::size_t MaxValueBytes = MaxRecordBytes - 256;

std::string valueOf(std::size_t bytes)
{
    std::string value;
    for (std::size_t index = 0; index < bytes; ++index) {
        value.push_back(static_cast<char>('a' + index % 26));
    }
    return value;
}

std::optional<std::string> readBack(const std::vector<StoredRecord> &records)
{
    RecordParts reader(MaxRecordBytes);
    std::optional<std::string> whole;
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        if (std::optional<std::string> value = reader.addRead(record->first, record->second)) {
            whole = std::move(value);
        }
    }
    const auto joined = reader.takeJoined();
    return joined.empty() ? whole : joined.front().second;
}

}

// Guards against a record that the store refuses for its size.
BOOST_AUTO_TEST_CASE(valuesAreSplitWhenTheyExceedARecord)
{
    for (const std::size_t bytes : {std::size_t{0}, MaxValueBytes, MaxValueBytes + 1, 2 * MaxValueBytes, 10 * MaxRecordBytes}) {
        RecordParts parts(MaxRecordBytes);
        std::vector<std::string> obsolete;
        const std::vector<StoredRecord> records = parts.split("0000000000000001", valueOf(bytes), obsolete);
        BOOST_TEST((records.size() == 1) == (bytes <= MaxValueBytes));
        for (const auto &[key, value] : records) {
            BOOST_TEST(1 + key.size() + value.size() <= MaxRecordBytes);
            BOOST_TEST(RecordParts::valueKeyOf(key) == "0000000000000001");
        }
        BOOST_TEST(obsolete.empty());
        BOOST_TEST((readBack(records) == valueOf(bytes)));
    }
}

// Guards against parts of a former value that stay in the store for good.
BOOST_AUTO_TEST_CASE(partsThatAreNotNeededAnyMoreAreRemoved)
{
    RecordParts parts(MaxRecordBytes);
    std::vector<std::string> obsolete;
    parts.split("a", valueOf(3 * MaxValueBytes), obsolete);
    parts.split("a", valueOf(2 * MaxValueBytes), obsolete);
    BOOST_TEST(obsolete == std::vector<std::string>{"a#2"}, boost::test_tools::per_element());
    obsolete.clear();
    parts.split("a", valueOf(1), obsolete);
    BOOST_TEST(obsolete == (std::vector<std::string>{"a#0", "a#1"}), boost::test_tools::per_element());
    obsolete.clear();
    parts.split("b", valueOf(2 * MaxValueBytes), obsolete);
    parts.remove("b", obsolete);
    BOOST_TEST(obsolete == (std::vector<std::string>{"b#0", "b#1"}), boost::test_tools::per_element());
}

// Guards against a value that is put together from parts that do not belong together.
BOOST_AUTO_TEST_CASE(aValueWithoutAllItsPartsIsUnreadable)
{
    RecordParts parts(MaxRecordBytes);
    std::vector<std::string> obsolete;
    std::vector<StoredRecord> records = parts.split("a", valueOf(3 * MaxValueBytes), obsolete);
    records.back().second.pop_back();
    BOOST_TEST(!readBack(records).has_value());
    records.pop_back();
    BOOST_TEST(!readBack(records).has_value());
}
