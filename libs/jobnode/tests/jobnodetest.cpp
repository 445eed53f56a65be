#include "jobnode/jobnode.h"
#include "jobnode/callerdirectory.h"
#include "jobs/jobcodec.h"

#include <asio.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{std::chrono::milliseconds(1000000)};

OwnershipPage makePage(std::uint64_t end, std::vector<OwnershipRecord> records = {})
{
    return {end, std::move(records)};
}

OwnershipRecord makeOwner(const std::string &node, std::uint64_t epoch, bool released = false)
{
    OwnershipRecord record;
    record.node = node;
    record.epoch = epoch;
    record.released = released;
    return record;
}

/** A store and workers in memory, shared by the nodes of a test. */
struct SharedWorld {
    explicit SharedWorld(asio::io_context &givenIo)
        : io(givenIo)
    {
    }

    asio::io_context &io;
    std::vector<OwnershipRecord> ownership;
    struct Partition {
        std::map<std::string, std::string> jobs;
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        bool away = false;
    };
    std::array<Partition, 3> partitions;
    bool away = false;
    /** The next batches are stored, but their answers are lost. */
    int lostAnswers = 0;
    /** The next claims meet a record that came before. */
    int conflicts = 0;
    std::map<TaskName, std::uint32_t> running;
    std::vector<ListedEnd> ended;
    std::uint64_t token = 0;
    int starts = 0;
    int repeatedBatches = 0;
    int questions = 0;
    int questionsOut = 0;
    int questionsAtOnce = 0;
    int mostOfOneNode = 0;
    /** Tasks end as soon as they have started. */
    bool endsAtOnce = true;

    template<typename Function>
    void later(Function function, std::chrono::milliseconds delay = 1ms)
    {
        auto timer = std::make_shared<asio::steady_timer>(io, delay);
        timer->async_wait([timer, function](const asio::error_code &) {
            function();
        });
    }

    StorePort store()
    {
        StorePort port;
        port.newestOwnership = [this](const StorePort::OwnershipHandler &handler) {
            later([this, handler] {
                if (away) {
                    handler(tl::make_unexpected(StoreFailure::Refused));
                    return;
                }
                OwnershipPage page{ownership.size(), {}};
                if (!ownership.empty()) {
                    page.records.push_back(ownership.back());
                }
                handler(page);
            });
        };
        port.followOwnership = [this](std::uint64_t from, std::chrono::milliseconds, const StorePort::OwnershipHandler &handler) {
            later(
                [this, from, handler] {
                    if (away) {
                        handler(tl::make_unexpected(StoreFailure::Refused));
                        return;
                    }
                    OwnershipPage page{ownership.size(), {}};
                    page.records.assign(ownership.begin() + static_cast<long>(std::min<std::size_t>(from, ownership.size())), ownership.end());
                    handler(page);
                },
                10ms);
        };
        port.claimOwnership = [this](const OwnershipRecord &record, std::uint64_t at, std::chrono::milliseconds, const StorePort::OffsetHandler &handler) {
            later([this, record, at, handler] {
                if (away) {
                    handler(tl::make_unexpected(StoreFailure::Refused));
                } else if (conflicts > 0) {
                    --conflicts;
                    handler(tl::make_unexpected(StoreFailure::Conflict));
                } else if (at != ownership.size()) {
                    handler(tl::make_unexpected(StoreFailure::Conflict));
                } else {
                    ownership.push_back(record);
                    handler(at);
                }
            });
        };
        port.partitions = static_cast<StorePartition>(partitions.size());
        port.fenceJobs = [this](StorePartition number, std::uint64_t given, const StorePort::OffsetHandler &handler) {
            later([this, &partition = partitions.at(number), given, handler] {
                if (away || partition.away) {
                    handler(tl::make_unexpected(StoreFailure::Refused));
                } else if (given < partition.epoch) {
                    handler(tl::make_unexpected(StoreFailure::Fenced));
                } else {
                    partition.epoch = given;
                    partition.sequence = 0;
                    handler(0);
                }
            });
        };
        port.storeJobs = [this](StorePartition number,
                                std::uint64_t given,
                                std::uint64_t sequence,
                                const auto &records,
                                const std::vector<JobId> &dropped,
                                const StorePort::OffsetHandler &handler) {
            later([this, &partition = partitions.at(number), given, sequence, records, dropped, handler] {
                store(partition, given, sequence, records, dropped, handler);
            });
        };
        port.readJobs = [this](StorePartition number, const std::string &, const StorePort::JobPageHandler &handler) {
            later([this, &partition = partitions.at(number), handler] {
                if (away || partition.away) {
                    handler(tl::make_unexpected(StoreFailure::Refused));
                } else {
                    handler(JobPage{{partition.jobs.begin(), partition.jobs.end()}, {}});
                }
            });
        };
        return port;
    }

    void store(Partition &partition,
               std::uint64_t given,
               std::uint64_t sequence,
               const std::vector<std::pair<JobId, std::string>> &records,
               const std::vector<JobId> &dropped,
               const StorePort::OffsetHandler &handler)
    {
        if (away || partition.away) {
            handler(tl::make_unexpected(StoreFailure::Refused));
            return;
        }
        if (given < partition.epoch) {
            handler(tl::make_unexpected(StoreFailure::Fenced));
            return;
        }
        if (sequence > partition.sequence + 1) {
            handler(tl::make_unexpected(StoreFailure::Conflict));
            return;
        }
        repeatedBatches += sequence <= partition.sequence ? 1 : 0;
        partition.sequence = std::max(partition.sequence, sequence);
        for (const auto &[key, bytes] : records) {
            partition.jobs[key] = bytes;
        }
        for (const JobId &job : dropped) {
            partition.jobs.erase(job);
        }
        if (lostAnswers > 0) {
            --lostAnswers;
            handler(tl::make_unexpected(StoreFailure::Unanswered));
        } else {
            handler(sequence);
        }
    }

    WorkerPort workers()
    {
        WorkerPort port;
        port.start = [this](const WorkerFacts &, const StartOrder &order, const std::string &, const WorkerPort::OrderHandler &handler) {
            later([this, order, handler] {
                if (order.fencingToken < token) {
                    handler(OrderRefusal::Fenced);
                    return;
                }
                ++starts;
                if (endsAtOnce) {
                    ended.push_back({ended.size() + 1, order.task, order.run, RunEnd::Done, ""});
                } else {
                    running[order.task] = order.run;
                }
                handler(OrderTaken{1000});
            });
        };
        port.stop = [this](const WorkerFacts &, const StopOrder &order, const WorkerPort::OrderHandler &handler) {
            later([this, order, handler] {
                running.erase(order.task);
                ended.push_back({ended.size() + 1, order.task, order.run, RunEnd::Stopped, ""});
                handler(OrderTaken{1000});
            });
        };
        port.hold = [this](const WorkerFacts &, const HoldOrder &order, const WorkerPort::HoldHandler &handler) {
            later(
                [this, order, handler] {
                    if (order.fencingToken < token) {
                        handler(OrderRefusal::Fenced);
                        return;
                    }
                    token = order.fencingToken;
                    Listing listing;
                    listing.bornMs = 5;
                    listing.clockMs = 1000;
                    for (const auto &[task, run] : running) {
                        listing.running.push_back({task, run, "", 50, 0});
                    }
                    for (const ListedEnd &end : ended) {
                        if (end.number > order.acknowledgedEnd) {
                            listing.ended.push_back(end);
                        }
                    }
                    handler(std::move(listing));
                },
                5ms);
        };
        port.retain = [](const std::function<bool(const WorkerId &)> &) {};
        port.advise = [this, asking = std::make_shared<int>(0)](const AdviceOrder &order, const WorkerPort::AdviceHandler &handler) {
            ++questions;
            questionsAtOnce = std::max(questionsAtOnce, ++questionsOut);
            ++*asking;
            mostOfOneNode = std::max(mostOfOneNode, *asking);
            later(
                [this, asking, order, handler] {
                    --*asking;
                    --questionsOut;
                    std::vector<Permission> permissions;
                    for (const WorkerId &worker : order.workers) {
                        permissions.push_back({worker, "ticket"});
                    }
                    handler(permissions);
                },
                50ms);
        };
        return port;
    }

    RegistryPort registry()
    {
        RegistryPort port;
        port.watch = [this](const RegistryPort::WorkersHandler &handler) {
            WorkerFacts facts;
            facts.id = "w1";
            facts.bornMs = 5;
            facts.pool = "pool";
            facts.address = "127.0.0.1:1";
            facts.capacity = {4000, 4000, 0};
            later([handler, facts] {
                handler({facts}, {});
            });
        };
        port.stop = [] {};
        return port;
    }

    static InstancePort instances()
    {
        InstancePort port;
        port.list = [](const std::string &, const InstancePort::ListHandler &handler) {
            handler(std::nullopt);
        };
        port.order = [](const InstanceOrder &, std::uint64_t, const InstancePort::OrderHandler &handler) {
            handler(InstanceRefusal::Later);
        };
        port.reportWave = [](std::uint64_t, bool, const InstancePort::ReportHandler &handler) {
            handler(true);
        };
        return port;
    }
};

/** Some nodes over one world, on one thread. */
struct Nodes {
    explicit Nodes(std::size_t count)
        : world(io)
    {
        auto policy = std::make_shared<FleetPolicy>();
        policy->version = 1;
        policy->queues["queue"].terms = {"pool", 0, 3, 2.0, 1000};
        configuration = std::make_shared<NodeConfiguration>();
        configuration->version = 1;
        configuration->policy = policy;
        for (std::size_t number = 0; number < count; ++number) {
            add(number);
        }
    }

    ~Nodes()
    {
        for (const auto &node : nodes) {
            node->stop();
        }
        nodes.clear();
        io.restart();
        io.poll();
    }

    void add(std::size_t number, double cpuShare = 1.0)
    {
        JobNodeSettings settings;
        settings.cpuShare = cpuShare;
        settings.name = "node-" + std::to_string(number);
        settings.peerAddress = {"127.0.0.1", 0};
        settings.peerSecret = "secret of this test";
        nodes.push_back(std::make_unique<JobNode>(io, settings, world.store(), world.workers(), world.registry(), SharedWorld::instances(), metrics));
        nodes.back()->start();
        nodes.back()->setConfiguration(configuration);
    }

    template<typename Condition>
    void runUntil(Condition done)
    {
        const SteadyTime most = steadyNow() + 30s;
        while (!done() && steadyNow() < most) {
            io.restart();
            io.run_one_for(50ms);
        }
        BOOST_REQUIRE(done());
    }

    JobNode &owner()
    {
        const auto findOwner = [this] {
            return std::find_if(nodes.begin(), nodes.end(), [](const auto &node) {
                return node->isOwner();
            });
        };
        runUntil([&] {
            return findOwner() != nodes.end();
        });
        return **findOwner();
    }

    JobNode &other()
    {
        const JobNode *owning = &owner();
        const auto found = std::find_if(nodes.begin(), nodes.end(), [&](const auto &node) {
            return node.get() != owning;
        });
        runUntil([&] {
            return (*found)->knowsOwner();
        });
        return **found;
    }

    JobAnswer call(JobNode &node, JobCallKind kind, const std::string &job)
    {
        JobCall call;
        call.kind = kind;
        call.queue = "queue";
        call.job = job;
        call.deadlineMs = toUnixMilliseconds(wallNow()) + 4000;
        StepSpec step;
        step.count = 2;
        step.demand = {500, 100, 0};
        step.estimateMs = 100;
        call.spec.steps = {step};
        std::optional<JobAnswer> answer;
        node.handle(call, [&](JobAnswer given) {
            answer = std::move(given);
        });
        runUntil([&] {
            return answer.has_value();
        });
        return *answer;
    }

    /** Asks until the answer is of @p kind; callers come again too. */
    JobAnswer callUntil(JobNode &node, JobCallKind kind, const std::string &job, JobAnswerKind expected)
    {
        JobAnswer answer;
        runUntil([&] {
            answer = call(node, kind, job);
            return answer.kind == expected;
        });
        return answer;
    }

    void awaitState(JobNode &node, const std::string &job, JobState state)
    {
        runUntil([&] {
            const JobAnswer answer = call(node, JobCallKind::State, job);
            return answer.kind == JobAnswerKind::State && answer.state == state;
        });
    }

    asio::io_context io;
    Metrics metrics;
    SharedWorld world;
    std::shared_ptr<NodeConfiguration> configuration;
    std::vector<std::unique_ptr<JobNode>> nodes;
};

}

BOOST_AUTO_TEST_CASE(silenceCountsOnlyWhileTheStoreAnswers)
{
    const OwnershipTimes times;
    OwnershipView view(times, 50ms, "self");
    BOOST_TEST(!view.shouldClaim(Start));
    view.notePage(makePage(1, {makeOwner("a", 1)}), Start);
    view.notePage(makePage(1), Start + times.silence);
    BOOST_TEST(!view.shouldClaim(Start + times.silence));
    view.notePage(makePage(1), Start + times.silence + 60ms);
    BOOST_TEST(view.shouldClaim(Start + times.silence + 60ms));
    // After an outage the owner gets the whole time again.
    view.noteFailure();
    BOOST_TEST(!view.shouldClaim(Start + 10s));
    view.notePage(makePage(1), Start + 10s);
    BOOST_TEST(!view.shouldClaim(Start + 10s));
    view.notePage(makePage(1), Start + 10s + times.silence + 60ms);
    BOOST_TEST(view.shouldClaim(Start + 10s + times.silence + 60ms));
}

// A store that loses answers: each heartbeat comes after one whose answer was waited for in vain.
BOOST_AUTO_TEST_CASE(lostAnswersAreNoSilence)
{
    const OwnershipTimes times;
    BOOST_TEST((times.orderFreshness < times.silence));
    OwnershipView view(times, 0ms, "self");
    BootTime now = Start;
    for (std::uint64_t offset = 1; offset < 20; ++offset, now += times.answer + times.heartbeat) {
        BOOST_TEST(!view.shouldClaim(now));
        view.notePage(makePage(offset, {makeOwner("a", 1)}), now);
        view.notePage(makePage(offset), now + times.answer);
        BOOST_TEST(!view.shouldClaim(now + times.answer));
    }
}

BOOST_AUTO_TEST_CASE(aReleasedOwnershipIsClaimedAtOnce)
{
    OwnershipView view(OwnershipTimes{}, 50ms, "self");
    view.notePage(makePage(2, {makeOwner("a", 1), makeOwner("a", 1, true)}), Start);
    BOOST_TEST(!view.shouldClaim(Start + 40ms));
    BOOST_TEST(view.shouldClaim(Start + 60ms));
    BOOST_TEST(view.end() == 2U);
}

BOOST_AUTO_TEST_CASE(theNodeThatIsNamedFollowsFirst)
{
    OwnershipRecord released = makeOwner("a", 1, true);
    released.successor = "self";
    OwnershipView named(OwnershipTimes{}, 50ms, "self");
    named.notePage(makePage(1, {released}), Start);
    BOOST_TEST(named.shouldClaim(Start));
    OwnershipView other(OwnershipTimes{}, 50ms, "other");
    other.notePage(makePage(1, {released}), Start);
    BOOST_TEST(!other.shouldClaim(Start + 200ms));
    // The named node may be gone itself.
    BOOST_TEST(other.shouldClaim(Start + 500ms));
}

BOOST_AUTO_TEST_CASE(theNodeThatWasStartedLastFollowsAnOwnerThatStops)
{
    Nodes fleet(3);
    JobNode &first = fleet.owner();
    fleet.runUntil([&] {
        return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [](const auto &node) {
            return node->knowsOwner();
        });
    });
    fleet.io.run_for(5ms);
    fleet.add(3);
    JobNode &last = *fleet.nodes.back();
    fleet.io.run_for(5ms);
    // Started later still, but too weak to carry all work if others can.
    fleet.add(4, 0.1);
    for (const auto &node : fleet.nodes) {
        fleet.callUntil(*node, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    }
    bool released = false;
    first.release([&] {
        released = true;
    });
    fleet.runUntil([&] {
        return released;
    });
    BOOST_TEST(&fleet.owner() == &last);
}

BOOST_AUTO_TEST_CASE(routesAreFoundByHostAndLongestPrefix)
{
    NodeConfiguration configuration;
    configuration.routes = {{"a", "/x/", "short", false}, {"a", "/x/y/", "long", false}, {"b", "/x/", "other", true}};
    BOOST_TEST(findRoute(configuration, "a", "/x/y/1")->route->queue == "long");
    BOOST_TEST(findRoute(configuration, "a:80", "/x/1")->route->queue == "short");
    BOOST_TEST(findRoute(configuration, "a", "/x/1")->rest == "1");
    BOOST_TEST(findRoute(configuration, "b", "/x/y/1")->route->queue == "other");
    BOOST_TEST(!findRoute(configuration, "c", "/x/1").has_value());
    BOOST_TEST(!findRoute(configuration, "a", "/z").has_value());
}

BOOST_AUTO_TEST_CASE(callsSurviveTheirCodec)
{
    JobCall call;
    call.kind = JobCallKind::Cancel;
    call.queue = "queue";
    call.job = "0123456789abcdef";
    call.deadlineMs = 77;
    const std::string bytes = encode(call);
    BOOST_TEST(decodeJobCall(bytes)->job == call.job);
    BOOST_TEST((decodeJobCall(bytes)->kind == JobCallKind::Cancel));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!decodeJobCall(bytes.substr(0, length)).has_value());
    }
    BOOST_TEST(decodeJobAnswer(encode(JobAnswer::notRun("busy", 500)))->retryAfterMs == 500);
}

BOOST_AUTO_TEST_CASE(aJobRunsThroughAnyNode)
{
    Nodes fleet(3);
    JobNode &other = fleet.other();
    BOOST_TEST((fleet.callUntil(other, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done).kind == JobAnswerKind::Done));
    // A repeat is the same job.
    BOOST_TEST((fleet.call(fleet.owner(), JobCallKind::Submit, "0000000000000001").kind == JobAnswerKind::Done));
    fleet.awaitState(other, "0000000000000001", JobState::Completed);
    BOOST_TEST(fleet.world.starts == 2);
    BOOST_TEST((fleet.call(other, JobCallKind::State, "0000000000000002").kind == JobAnswerKind::UnknownJob));
    BOOST_TEST((fleet.call(other, JobCallKind::Cancel, "0000000000000002").kind == JobAnswerKind::UnknownJob));
    BOOST_TEST(fleet.call(other, JobCallKind::CountPending, "").pending == 0U);
}

BOOST_AUTO_TEST_CASE(aCancelledJobIsStopped)
{
    Nodes fleet(2);
    fleet.world.endsAtOnce = false;
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(owner, "0000000000000001", JobState::Running);
    fleet.runUntil([&] {
        return fleet.world.running.size() == 2;
    });
    BOOST_TEST((fleet.call(fleet.other(), JobCallKind::Cancel, "0000000000000001").kind == JobAnswerKind::Done));
    fleet.runUntil([&] {
        return fleet.world.running.empty();
    });
    fleet.awaitState(owner, "0000000000000001", JobState::Cancelled);
}

BOOST_AUTO_TEST_CASE(anOwnerThatLetsGoIsFollowedAtOnce)
{
    Nodes fleet(3);
    JobNode &first = fleet.owner();
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(first, "0000000000000001", JobState::Completed);
    bool released = false;
    first.release([&] {
        released = true;
    });
    fleet.runUntil([&] {
        return released && !first.isOwner();
    });
    JobNode &second = fleet.owner();
    BOOST_TEST(&second != &first);
    fleet.awaitState(first, "0000000000000001", JobState::Completed);
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000002", JobAnswerKind::Done);
    fleet.awaitState(second, "0000000000000002", JobState::Completed);
    BOOST_TEST(fleet.world.starts == 4);
}

BOOST_AUTO_TEST_CASE(aReleaseThatMeetsAHeartbeatIsStoredAgain)
{
    Nodes fleet(2);
    JobNode &first = fleet.owner();
    fleet.other();
    fleet.world.conflicts = 2;
    bool released = false;
    first.release([&] {
        released = true;
    });
    fleet.runUntil([&] {
        return released;
    });
    BOOST_TEST(fleet.world.conflicts == 0);
    const auto stored = std::find_if(fleet.world.ownership.begin(), fleet.world.ownership.end(), [](const OwnershipRecord &record) {
        return record.released;
    });
    BOOST_TEST((stored != fleet.world.ownership.end()));
}

BOOST_AUTO_TEST_CASE(theNextLifeOfAnOwnerFollowsAtOnce)
{
    Nodes fleet(1);
    fleet.owner();
    fleet.nodes.front()->stop();
    fleet.nodes.clear();
    const SteadyTime restarted = steadyNow();
    // The same name: another life of the node.
    fleet.add(0);
    fleet.owner();
    BOOST_TEST((steadyNow() - restarted < OwnershipTimes{}.silence));
}

BOOST_AUTO_TEST_CASE(aSilentOwnerIsFollowedAndItsRunsAreAdopted)
{
    Nodes fleet(2);
    fleet.world.endsAtOnce = false;
    JobNode &first = fleet.owner();
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.runUntil([&] {
        return fleet.world.running.size() == 2;
    });
    JobNode &second = fleet.other();
    first.stop();
    fleet.runUntil([&] {
        return second.isOwner();
    });
    fleet.awaitState(second, "0000000000000001", JobState::Running);
    for (const auto &[task, run] : std::map<TaskName, std::uint32_t>(fleet.world.running)) {
        fleet.world.running.erase(task);
        fleet.world.ended.push_back({fleet.world.ended.size() + 1, task, run, RunEnd::Done, ""});
    }
    fleet.awaitState(second, "0000000000000001", JobState::Completed);
    BOOST_TEST(fleet.world.starts == 2);
}

BOOST_AUTO_TEST_CASE(lostAnswersOfTheStoreRepeatTheSameBatch)
{
    Nodes fleet(1);
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(owner, "0000000000000001", JobState::Completed);
    fleet.world.lostAnswers = 2;
    BOOST_TEST((fleet.call(owner, JobCallKind::Submit, "0000000000000002").kind == JobAnswerKind::Done));
    fleet.awaitState(owner, "0000000000000002", JobState::Completed);
    BOOST_TEST(fleet.world.repeatedBatches == 2);
    BOOST_TEST(fleet.world.starts == 4);
}

BOOST_AUTO_TEST_CASE(nothingIsAcceptedWhileTheStoreIsAway)
{
    Nodes fleet(1);
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.world.away = true;
    JobAnswer answer;
    int number = 10;
    fleet.runUntil([&] {
        answer = fleet.call(owner, JobCallKind::Submit, "00000000000000" + std::to_string(number++));
        return answer.kind == JobAnswerKind::NotRun;
    });
    BOOST_TEST(answer.retryAfterMs > 0);
    // What was refused is not kept.
    const std::string refused = "00000000000000" + std::to_string(number - 1);
    fleet.world.away = false;
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000099", JobAnswerKind::Done);
    BOOST_TEST((fleet.call(owner, JobCallKind::State, refused).kind == JobAnswerKind::UnknownJob));
}

BOOST_AUTO_TEST_CASE(allNodesAskTheAdviceService)
{
    Nodes fleet(3);
    auto policy = std::make_shared<FleetPolicy>(*fleet.configuration->policy);
    policy->queues["queue"].advice = AdvicePolicy{50ms, 1ms, 3000ms};
    auto configuration = std::make_shared<NodeConfiguration>(*fleet.configuration);
    configuration->policy = policy;
    fleet.owner();
    for (const auto &node : fleet.nodes) {
        node->setConfiguration(configuration);
    }
    fleet.other();
    const std::vector<std::string> jobs
        = {"0000000000000001", "0000000000000002", "0000000000000003", "0000000000000004", "0000000000000005", "0000000000000006"};
    int round = 0;
    // Until the other nodes have offered themselves the owner asks alone.
    fleet.runUntil([&] {
        ++round;
        for (const std::string &job : jobs) {
            fleet.callUntil(fleet.owner(), JobCallKind::Submit, std::to_string(round) + job, JobAnswerKind::Done);
        }
        for (const std::string &job : jobs) {
            fleet.awaitState(fleet.owner(), std::to_string(round) + job, JobState::Completed);
        }
        return fleet.world.questionsAtOnce == 3;
    });
    // The service serves one call of each machine at a time.
    BOOST_TEST(fleet.world.mostOfOneNode == 1);
}

BOOST_AUTO_TEST_CASE(jobsMoveToAnotherPartitionWhileTheirsIsAway)
{
    Nodes fleet(2);
    fleet.world.endsAtOnce = false;
    JobNode &first = fleet.owner();
    JobNode &second = fleet.other();
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(first, "0000000000000001", JobState::Running);
    // Of an earlier time in which the jobs were there.
    fleet.world.partitions[1].jobs["0000000000000009"] = fleet.world.partitions[0].jobs.at("0000000000000001");
    fleet.world.partitions[0].away = true;
    // Answered by its own first call: nobody is sent away.
    BOOST_TEST((fleet.call(first, JobCallKind::Submit, "0000000000000002").kind == JobAnswerKind::Done));
    fleet.awaitState(first, "0000000000000002", JobState::Running);
    BOOST_TEST(fleet.world.ownership.back().jobsPartition == 1U);
    BOOST_TEST(fleet.world.partitions[1].jobs.size() == 2U);
    // A successor goes on there, even after the former partition is back.
    fleet.world.partitions[0].away = false;
    first.stop();
    fleet.runUntil([&] {
        return second.isOwner();
    });
    fleet.awaitState(second, "0000000000000001", JobState::Running);
    fleet.awaitState(second, "0000000000000002", JobState::Running);
    BOOST_TEST((fleet.call(second, JobCallKind::State, "0000000000000009").kind == JobAnswerKind::UnknownJob));
    BOOST_TEST(fleet.world.starts == 4);
}

BOOST_AUTO_TEST_CASE(jobsMoveOnWhileSeveralPartitionsAreAway)
{
    Nodes fleet(1);
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.world.partitions[0].away = true;
    fleet.world.partitions[1].away = true;
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000002", JobAnswerKind::Done);
    BOOST_TEST(fleet.world.ownership.back().jobsPartition == 2U);
    fleet.awaitState(owner, "0000000000000001", JobState::Completed);
    fleet.awaitState(owner, "0000000000000002", JobState::Completed);
    BOOST_TEST(fleet.world.starts == 4);
}

BOOST_AUTO_TEST_CASE(aMoveThatDoesNotEndLeavesTheFormerPartitionInForce)
{
    Nodes fleet(2);
    fleet.world.endsAtOnce = false;
    JobNode &first = fleet.owner();
    JobNode &second = fleet.other();
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(first, "0000000000000001", JobState::Running);
    for (SharedWorld::Partition &partition : fleet.world.partitions) {
        partition.away = true;
    }
    JobAnswer answer;
    int number = 10;
    fleet.runUntil([&] {
        answer = fleet.call(first, JobCallKind::Submit, "00000000000000" + std::to_string(number++));
        return answer.kind == JobAnswerKind::NotRun;
    });
    BOOST_TEST(fleet.world.ownership.back().jobsPartition == 0U);
    first.stop();
    for (SharedWorld::Partition &partition : fleet.world.partitions) {
        partition.away = false;
    }
    fleet.runUntil([&] {
        return second.isOwner();
    });
    fleet.awaitState(second, "0000000000000001", JobState::Running);
    BOOST_TEST(fleet.world.starts == 2);
}

BOOST_AUTO_TEST_CASE(theWholeStoreAwayMovesNothing)
{
    Nodes fleet(1);
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(owner, "0000000000000001", JobState::Completed);
    fleet.world.away = true;
    int number = 10;
    fleet.runUntil([&] {
        return fleet.call(owner, JobCallKind::Submit, "00000000000000" + std::to_string(number++)).kind == JobAnswerKind::NotRun;
    });
    fleet.world.away = false;
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000099", JobAnswerKind::Done);
    BOOST_TEST(fleet.world.ownership.back().jobsPartition == 0U);
    BOOST_TEST(fleet.world.partitions[1].jobs.empty());
}
