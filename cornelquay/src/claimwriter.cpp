#include "details/claimwriter.h"

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxBatchClaims = 1000;
constexpr auto ReleaseTimeout = 2s;

}

ClaimWriter::ClaimWriter(Replica &replica, Incarnation self, Metrics &metrics)
    : m_replica(replica)
    , m_self(std::move(self))
    , m_claimsTotal(metrics.counter("claims_total", "Claims of requests that must run at most once"))
    , m_batchesTotal(metrics.counter("claim_batches_total", "Records written to carry claims"))
    , m_thread([this] {
        writeBatches();
    })
{
}

ClaimWriter::~ClaimWriter()
{
    stop();
}

ClaimResult ClaimWriter::claim(const Claim &claim, SteadyTime deadline)
{
    const auto pending = std::make_shared<Pending>(Pending{claim, deadline, std::nullopt});
    std::unique_lock lock(m_mutex);
    if (m_stopping) {
        return ClaimUndecided{};
    }
    m_claims.push_back(pending);
    m_workArrived.notify_one();
    m_decided.wait_until(lock, deadline, [&] {
        return pending->result.has_value();
    });
    return pending->result.value_or(ClaimUndecided{});
}

void ClaimWriter::release(const Release &release)
{
    const std::lock_guard lock(m_mutex);
    m_releases.push_back(release);
    m_workArrived.notify_one();
}

void ClaimWriter::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_workArrived.notify_one();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ClaimWriter::writeBatches()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_workArrived.wait(lock, [&] {
            return m_stopping || !m_claims.empty() || !m_releases.empty();
        });
        if (m_stopping && m_claims.empty() && m_releases.empty()) {
            return;
        }
        const std::size_t count = std::min(m_claims.size(), MaxBatchClaims);
        const std::vector<std::shared_ptr<Pending>> claims(m_claims.begin(), m_claims.begin() + static_cast<std::ptrdiff_t>(count));
        m_claims.erase(m_claims.begin(), m_claims.begin() + static_cast<std::ptrdiff_t>(count));
        std::vector<Release> releases;
        releases.swap(m_releases);
        lock.unlock();
        writeReleases(std::move(releases));
        writeClaims(claims);
        lock.lock();
    }
}

void ClaimWriter::writeClaims(const std::vector<std::shared_ptr<Pending>> &batch)
{
    if (batch.empty()) {
        return;
    }
    RequestsClaimed body{m_self.name, m_self.number, {}};
    SteadyTime deadline;
    for (const auto &pending : batch) {
        body.claims.push_back(pending->claim);
        deadline = std::max(deadline, pending->deadline);
    }
    m_claimsTotal.increment(static_cast<double>(batch.size()));
    m_batchesTotal.increment();
    const ProposalOutcome outcome = m_replica.propose(std::move(body), m_self.name, {}, deadline);
    std::vector<ClaimResult> decided(batch.size(), ClaimUndecided{});
    if (const auto *folded = std::get_if<ProposalFolded>(&outcome)) {
        decided = results(batch, folded->offset);
    }
    const std::lock_guard lock(m_mutex);
    for (std::size_t index = 0; index < batch.size(); ++index) {
        batch[index]->result = decided[index];
    }
    m_decided.notify_all();
}

std::vector<ClaimResult> ClaimWriter::results(const std::vector<std::shared_ptr<Pending>> &batch, Offset offset) const
{
    std::vector<ClaimResult> decided;
    m_replica.query([&](const FleetState &state) {
        for (const auto &pending : batch) {
            const std::optional<ClaimEntry> entry = activeClaim(state, pending->claim.key);
            if (entry && entry->bindingOffset == offset) {
                decided.emplace_back(ClaimBound{offset});
            } else if (entry) {
                decided.emplace_back(ClaimTaken{});
            } else {
                decided.emplace_back(ClaimUndecided{});
            }
        }
    });
    return decided;
}

void ClaimWriter::writeReleases(std::vector<Release> batch)
{
    if (batch.empty()) {
        return;
    }
    const ProposalOutcome outcome = m_replica.propose(ClaimsReleased{batch}, m_self.name, {}, steadyNow() + ReleaseTimeout);
    if (std::holds_alternative<ProposalFolded>(outcome)) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (!m_stopping) {
        m_releases.insert(m_releases.end(), batch.begin(), batch.end());
    }
}

}
