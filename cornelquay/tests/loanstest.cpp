#include "details/loans.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Cornelquay;
using namespace Cornelquay::Details;
using namespace std::chrono_literals;

namespace {

const Incarnation Lender{"lender", 1};
const Incarnation Borrower{"borrower", 1};

}

BOOST_AUTO_TEST_CASE(loanIsGrantedUsedAndReturned)
{
    LentQuota lent;
    BorrowedQuota borrowed;
    const SteadyTime now = steadyNow();
    const LoanGrant grant = lent.update(Borrower, {"t", 0, 5}, 1, 3, now);
    BOOST_TEST(grant.granted == 3);
    borrowed.confirm(Lender, grant, 0, now);
    BOOST_TEST(borrowed.usable(now).at("t") == 3);
    BOOST_TEST(borrowed.giveBack({Lender, "t"}, 2) == 2);
    BOOST_TEST(borrowed.usable(now).at("t") == 1);
    lent.update(Borrower, {"t", borrowed.retained({Lender, "t"}), 0}, 2, 0, now);
    BOOST_TEST(lent.lent(now).at("t") == 1);
}

BOOST_AUTO_TEST_CASE(unconfirmedLoanExpiresAtBorrowerBeforeLender)
{
    LentQuota lent;
    BorrowedQuota borrowed;
    const SteadyTime now = steadyNow();
    borrowed.confirm(Lender, lent.update(Borrower, {"t", 0, 2}, 1, 2, now), 0, now);
    BOOST_TEST(borrowed.usable(now + LoanUsePeriod).empty());
    BOOST_TEST(lent.lent(now + LoanUsePeriod + MaxTaskLease).at("t") == 2);
    BOOST_TEST(lent.lent(now + LoanReclaimDelay).empty());
    // Once the loan has expired at the lender, a request that still reports it does not revive it.
    const LoanGrant late = lent.update(Borrower, {"t", 2, 0}, 2, 0, now + LoanReclaimDelay);
    BOOST_TEST(late.total == 0);
    borrowed.confirm(Lender, late, 2, now + LoanReclaimDelay);
    BOOST_TEST(borrowed.usable(now + LoanReclaimDelay).empty());
}

BOOST_AUTO_TEST_CASE(repeatedAndOutdatedLoanRequestsGrantNothing)
{
    LentQuota lent;
    const SteadyTime now = steadyNow();
    BOOST_TEST(lent.update(Borrower, {"t", 0, 2}, 5, 9, now).granted == 2);
    BOOST_TEST(lent.update(Borrower, {"t", 0, 2}, 5, 9, now).granted == 0);
    BOOST_TEST(lent.update(Borrower, {"t", 0, 2}, 4, 9, now).granted == 0);
    BOOST_TEST(lent.lent(now).at("t") == 2);
}

// Messages between a lender and a borrower are lost, repeated and delayed at random: the permits that the
// borrower may use must never exceed those that the lender withholds for it.
BOOST_AUTO_TEST_CASE(messageFaultsNeverCreatePermits)
{
    struct Message {
        LoanRequest loanRequest;
        std::uint64_t sequence;
        SteadyTime sentAt;
    };
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        std::mt19937_64 random(seed);
        const auto draw = [&](std::uint64_t count) {
            return static_cast<std::int64_t>(random() % count);
        };
        LentQuota lent;
        BorrowedQuota borrowed;
        std::vector<Message> inFlight;
        std::uint64_t sequence = 0;
        SteadyTime now = steadyNow();
        for (int step = 0; step < 300; ++step) {
            now += std::chrono::milliseconds(draw(step % 50 == 0 ? 30000 : 400));
            if (draw(3) == 0) {
                borrowed.giveBack({Lender, "t"}, draw(4));
            }
            inFlight.push_back({{"t", borrowed.retained({Lender, "t"}), draw(5)}, ++sequence, now});
            const Message message = inFlight[static_cast<std::size_t>(draw(inFlight.size()))];
            const std::int64_t alreadyLent = lent.lent(now)["t"];
            const LoanGrant grant = lent.update(Borrower, message.loanRequest, message.sequence, 10 - alreadyLent, now);
            // The borrower processes only the answer to its newest request, and some answers are lost.
            if (message.sequence == sequence && draw(3) != 0) {
                borrowed.confirm(Lender, grant, message.loanRequest.retained, message.sentAt);
            }
            const auto usable = borrowed.usable(now);
            const auto held = lent.lent(now);
            const std::int64_t used = usable.contains("t") ? usable.at("t") : 0;
            const std::int64_t kept = held.contains("t") ? held.at("t") : 0;
            BOOST_REQUIRE_MESSAGE(used <= kept && kept <= 10, "seed " << seed << " step " << step << ": " << used << " used, " << kept << " kept");
        }
    }
}
