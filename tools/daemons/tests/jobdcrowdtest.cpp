#include "jobfleet.h"

#include <csignal>
#include <sstream>

using namespace Cornelquay;
using namespace Cornelquay::SharedPlatform;
using namespace std::chrono_literals;

namespace {

// The largest body that the emulator's configuration allows.
constexpr std::size_t MaxBodyBytes = 262144;
constexpr std::size_t CrowdClients = 500;
std::string withLength(std::size_t number, const std::string &body, std::size_t announcedBytes)
{
    return submissionHead(number) + "Content-Length: " + std::to_string(announcedBytes) + "\r\n\r\n" + body;
}

/** A submission whose body of the largest size lacks its last byte. */
std::string unfinishedSubmission(std::size_t number)
{
    return withLength(number, std::string(MaxBodyBytes - 1, 'x'), MaxBodyBytes);
}

/** As unfinishedSubmission(), in chunks of @p chunkBytes; the last chunk, which would end the body, is missing. */
std::string unfinishedChunks(std::size_t number, std::size_t chunkBytes)
{
    std::ostringstream text;
    text << submissionHead(number) << "Transfer-Encoding: chunked\r\n\r\n" << std::hex;
    const std::string chunk(chunkBytes, 'x');
    for (std::size_t sent = 0; sent + chunkBytes <= MaxBodyBytes; sent += chunkBytes) {
        text << chunkBytes << "\r\n" << chunk << "\r\n";
    }
    return text.str();
}

std::string inChunks(std::size_t number, const std::string &body, std::size_t chunkBytes)
{
    std::ostringstream text;
    text << submissionHead(number) << "Transfer-Encoding: chunked\r\n\r\n" << std::hex;
    for (std::size_t sent = 0; sent < body.size(); sent += chunkBytes) {
        const std::string chunk = body.substr(sent, chunkBytes);
        text << chunk.size() << "\r\n" << chunk << "\r\n";
    }
    text << "0\r\n\r\n";
    return text.str();
}

std::string manySmallFields()
{
    std::string fields;
    for (int field = 0; field < 15000; ++field) {
        fields += "a:\r\n";
    }
    return fields;
}

/** A crowd on the only node, of which each client sends @p bytes. */
void checkCrowd(CrowdPlan plan)
{
    JobFleet fleet(1);
    fleet.receive(0, std::move(plan));
    fleet.check();
}

}

// Guards against defences that turn away a single caller who keeps to the limits.
BOOST_AUTO_TEST_CASE(jobdServesSingleRequestsAtTheLimits)
{
    JobFleet fleet(1);
    const std::string accepted = "HTTP/1.1 200 OK";
    BOOST_TEST(fleet.exchange(0, withLength(1, largeJob(), largeJob().size())) == accepted);
    BOOST_TEST(fleet.exchange(0, inChunks(2, largeJob(), 32768)) == accepted);
    BOOST_TEST(fleet.exchange(0, inChunks(3, largeJob(), 1)) == accepted);
    BOOST_TEST(fleet.exchange(0, submissionHead(4) + manySmallFields() + "Content-Length: " + std::to_string(smallJob().size()) + "\r\n\r\n" + smallJob())
               == accepted);
    BOOST_TEST(fleet.exchange(0, withLength(5, wideJob(), wideJob().size())) == accepted);
    fleet.check();
}

// In each further case the sum over many connections of what one of them may hold exceeds the memory of the machine.

BOOST_AUTO_TEST_CASE(jobdHoldsLargeBodiesThatStopShort)
{
    checkCrowd({CrowdClients, unfinishedSubmission});
}

BOOST_AUTO_TEST_CASE(jobdHoldsLargeBodiesInPieces)
{
    checkCrowd({CrowdClients, unfinishedSubmission, 16384});
}

BOOST_AUTO_TEST_CASE(jobdHoldsBodiesInLargeChunks)
{
    checkCrowd({CrowdClients, [](std::size_t client) {
                    return unfinishedChunks(client, 32768);
                }});
}

BOOST_AUTO_TEST_CASE(jobdHoldsBodiesInSmallChunks)
{
    checkCrowd({CrowdClients, [](std::size_t client) {
                    return unfinishedChunks(client, 16);
                }});
}

// A field of three bytes takes far more memory once it is parsed.
BOOST_AUTO_TEST_CASE(jobdHoldsHeadersOfManySmallFields)
{
    checkCrowd({CrowdClients, [](std::size_t client) {
                    return submissionHead(client) + manySmallFields();
                }});
}

// The store answers nothing for a while, so the submissions before the pipelined bytes wait.
BOOST_AUTO_TEST_CASE(jobdHoldsPipelinedBytesBehindWaitingRequests)
{
    JobFleet fleet(1);
    fleet.signalPlatform(SIGSTOP);
    fleet.receive(0, {CrowdClients, [](std::size_t client) {
                          return withLength(client, smallJob(), smallJob().size()) + unfinishedSubmission(client);
                      }});
    fleet.signalPlatform(SIGCONT);
    fleet.check();
}

BOOST_AUTO_TEST_CASE(jobdHoldsRequestsThatWaitForTheStore)
{
    JobFleet fleet(1);
    fleet.signalPlatform(SIGSTOP);
    fleet.receive(0, {CrowdClients, [body = largeJob()](std::size_t client) {
                          return withLength(client, body, body.size());
                      }});
    fleet.signalPlatform(SIGCONT);
    fleet.check();
}

// The calls of the two other nodes wait at the owner.
BOOST_AUTO_TEST_CASE(jobdHoldsCallsOfOtherNodes)
{
    JobFleet fleet(3);
    const std::size_t owner = fleet.owner();
    fleet.signalPlatform(SIGSTOP);
    for (const std::size_t other : {(owner + 1) % 3, (owner + 2) % 3}) {
        fleet.receive(other, {CrowdClients, [body = largeJob(), other](std::size_t client) {
                                  return withLength(1000 * other + client, body, body.size());
                              }});
    }
    fleet.signalPlatform(SIGCONT);
    fleet.check();
}

// Each body is small, but the owner keeps a record of each task until the job is closed.
BOOST_AUTO_TEST_CASE(jobdHoldsAcceptedJobsOfManyTasks)
{
    checkCrowd({CrowdClients, [body = wideJob()](std::size_t client) {
                    std::string bytes;
                    for (std::size_t job = 0; job < 4; ++job) {
                        bytes += withLength(1000 * job + client, body, body.size());
                    }
                    return bytes;
                }});
}

// More idle connections than the process has descriptors; each is opened again when it is closed.
BOOST_AUTO_TEST_CASE(jobdServesWhileIdleConnectionsTakeAllPlaces)
{
    JobFleet fleet(1, 256);
    fleet.receive(0,
                  {400,
                   [](std::size_t) {
                       return std::string("P");
                   },
                   0,
                   0ms,
                   true});
    fleet.check();
}
