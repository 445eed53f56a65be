#include "standin/platformserver.h"

#include "details/connectionthreads.h"
#include "platform/logcodec.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <charconv>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusNotModified = 304;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;
constexpr std::size_t MaxRequestsPerConnection = 1000000;
constexpr std::size_t MaxReadBytes = 4ULL * 1024 * 1024;
constexpr std::int64_t MaxReadWaitMs = 10000;
constexpr auto AdvanceInterval = 20ms;

std::int64_t numberParameter(const httplib::Request &request, const char *name)
{
    const std::string text = request.get_param_value(name);
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void configure(httplib::Server &server)
{
    server.new_task_queue = [] {
        return new Details::ConnectionThreads();
    };
    server.set_keep_alive_max_count(MaxRequestsPerConnection);
    server.set_tcp_nodelay(true);
}

// Limits the size of one answer; the reader requests the remaining entries separately.
void limitBytes(LogRead &read)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < read.entries.size() && (count == 0 || bytes + read.entries[count].bytes.size() <= MaxReadBytes)) {
        bytes += read.entries[count].bytes.size();
        ++count;
    }
    read.entries.resize(count);
}

/** One HTTP listener and its thread. */
class Listener
{
public:
    explicit Listener(std::uint16_t port)
    {
        configure(m_server);
        m_requestedPort = port;
    }
    ~Listener()
    {
        if (m_thread.joinable()) {
            m_server.stop();
            m_thread.join();
        }
    }
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    httplib::Server &server()
    {
        return m_server;
    }
    void start()
    {
        if (m_requestedPort == 0) {
            m_port = static_cast<std::uint16_t>(m_server.bind_to_any_port("127.0.0.1"));
        } else if (m_server.bind_to_port("127.0.0.1", m_requestedPort)) {
            m_port = m_requestedPort;
        }
        m_thread = std::thread([this] {
            m_server.listen_after_bind();
        });
        while (!m_server.is_running()) {
            std::this_thread::yield();
        }
    }
    std::uint16_t port() const
    {
        return m_port;
    }

private:
    httplib::Server m_server;
    std::uint16_t m_requestedPort = 0;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

/** A listener for the log, with its injected faults. */
struct LogListener {
    std::unique_ptr<Listener> listener = std::make_unique<Listener>(0);
    std::mutex mutex;
    ListenerFaults faults;

    ListenerFaults currentFaults()
    {
        const std::lock_guard lock(mutex);
        return faults;
    }
};

Json toJsonValue(const ListedInstance &instance)
{
    return {{"name", instance.name},
            {"incarnation", instance.incarnation},
            {"pool", instance.pool},
            {"address", toText(instance.address)},
            {"zone", instance.zone},
            {"rack", instance.rack},
            {"cores", instance.cores},
            {"memory-bytes", instance.memoryBytes},
            {"accelerators", instance.accelerators},
            {"state", toName(instance.state)},
            {"maintained-at", instance.maintainedAtMs}};
}

WorkerFaults workerFaults(const Json &body)
{
    WorkerFaults faults;
    faults.delay = std::chrono::milliseconds(body.value("delay-ms", 0));
    faults.loseAnswer = body.value("lose-answer", 0.0);
    faults.silent = body.value("silent", 0.0);
    faults.cross = body.value("cross", 0.0);
    faults.truncate = body.value("truncate", 0.0);
    faults.duplicate = body.value("duplicate", 0.0);
    faults.damage = body.value("damage", 0.0);
    faults.failing = body.value("failing", false);
    faults.paused = body.value("paused", false);
    return faults;
}

void writeJson(httplib::Response &response, const Json &body)
{
    response.set_content(body.dump() + '\n', "application/json");
}

void writeResult(httplib::Response &response, const tl::expected<void, PlatformError> &result)
{
    response.status = result ? StatusOk : StatusConflict;
    writeJson(response, {{"done", result.has_value()}});
}

}

struct PlatformServer::Impl {
    Impl(std::shared_ptr<MemoryLog> sharedLog, FleetStandin &servedFleet, std::uint16_t port)
        : log(std::move(sharedLog))
        , fleet(servedFleet)
        , platform(port)
    {
    }

    std::shared_ptr<MemoryLog> log;
    FleetStandin &fleet;
    Listener platform;
    std::vector<std::unique_ptr<LogListener>> logListeners;
    std::atomic<bool> listDown = false;
    std::mutex mutex;
    std::condition_variable wakeUp;
    bool stopping = false;
    std::thread advanceThread;

    void addLogHandlers(LogListener &entry);
    void addPlatformHandlers();
    void addFaultHandlers();
    void addLedgerHandlers();
    bool applyFaults(const ListenerFaults &faults, httplib::Response &response);
    void advance();
    void setLogFaults(int index, const ListenerFaults &faults);
};

// Delays or rejects a request as the faults say. Returns whether the request is to be handled.
bool PlatformServer::Impl::applyFaults(const ListenerFaults &faults, httplib::Response &response)
{
    if (faults.delay > 0ms) {
        std::unique_lock lock(mutex);
        wakeUp.wait_for(lock, faults.delay, [&] {
            return stopping;
        });
    }
    if (faults.down) {
        response.status = StatusUnavailable;
        writeJson(response, {{"error", "unavailable"}});
        return false;
    }
    return true;
}

void PlatformServer::Impl::addLogHandlers(LogListener &entry)
{
    httplib::Server &server = entry.listener->server();
    server.Post("/log/records", [this, &entry](const httplib::Request &request, httplib::Response &response) {
        const ListenerFaults faults = entry.currentFaults();
        if (!applyFaults(faults, response)) {
            return;
        }
        const auto appended = log->append(request.body, steadyNow());
        if (!appended) {
            response.status = StatusUnavailable;
            return;
        }
        if (faults.loseAppendAnswers) {
            // The body breaks off, so the caller gets no valid answer although the append took effect.
            response.set_content_provider(2, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) {
                return false;
            });
            return;
        }
        writeJson(response, {{"offset", appended->offset}});
    });
    server.Get("/log/records", [this, &entry](const httplib::Request &request, httplib::Response &response) {
        if (!applyFaults(entry.currentFaults(), response)) {
            return;
        }
        const auto wait = std::clamp<std::int64_t>(numberParameter(request, "wait-ms"), 0, MaxReadWaitMs);
        const LogQuery query{static_cast<Offset>(numberParameter(request, "from")),
                             static_cast<std::uint32_t>(numberParameter(request, "limit")),
                             steadyNow() + std::chrono::milliseconds(wait),
                             {}};
        auto read = log->read(query);
        if (!read || entry.currentFaults().down) {
            response.status = StatusUnavailable;
            return;
        }
        limitBytes(*read);
        response.set_content(encodeLogRead(*read), "application/msgpack");
    });
}

void PlatformServer::Impl::addPlatformHandlers()
{
    httplib::Server &server = platform.server();
    server.Get("/instances", [this](const httplib::Request &request, httplib::Response &response) {
        if (listDown) {
            response.status = StatusUnavailable;
            return;
        }
        Json body;
        body["instances"] = Json::array();
        for (const ListedInstance &instance : fleet.listed()) {
            body["instances"].push_back(toJsonValue(instance));
        }
        const std::string version = '"' + std::to_string(std::hash<std::string>()(body.dump())) + '"';
        response.set_header("ETag", version);
        if (request.get_header_value("If-None-Match") == version) {
            response.status = StatusNotModified;
            return;
        }
        writeJson(response, body);
    });
    server.Post("/instances/([A-Za-z0-9._-]+)/(drain|reboot|resume)", [this](const httplib::Request &request, httplib::Response &response) {
        const Json body = Json::parse(request.body, nullptr, false);
        if (listDown || !body.is_object()) {
            response.status = listDown ? StatusUnavailable : StatusBadRequest;
            return;
        }
        const FencedCommand command{request.matches[1], body.value("fence", Offset(0)), fromUnixMilliseconds(body.value("begin-before", std::int64_t(0)))};
        const std::string verb = request.matches[2];
        if (verb == "drain") {
            writeResult(response, fleet.drain(command));
        } else if (verb == "reboot") {
            writeResult(response, fleet.reboot(command, steadyNow()));
        } else {
            writeResult(response, fleet.resume(command));
        }
    });
}

void PlatformServer::Impl::addFaultHandlers()
{
    httplib::Server &server = platform.server();
    server.Post("/faults/worker/(.+)", [this](const httplib::Request &request, httplib::Response &response) {
        const Json body = Json::parse(request.body, nullptr, false);
        const bool known = body.is_object() && fleet.setFaults(request.matches[1], workerFaults(body));
        response.status = known ? StatusOk : StatusNotFound;
    });
    server.Post("/faults/leave/(.+)", [this](const httplib::Request &request, httplib::Response &response) {
        response.status = fleet.markLeaving(request.matches[1]) ? StatusOk : StatusNotFound;
    });
    server.Post("/faults/kill/(.+)", [this](const httplib::Request &request, httplib::Response &response) {
        response.status = fleet.kill(request.matches[1]) ? StatusOk : StatusNotFound;
    });
    server.Post("/faults/list", [this](const httplib::Request &request, httplib::Response &response) {
        const Json body = Json::parse(request.body, nullptr, false);
        listDown = body.is_object() && body.value("down", false);
        response.status = StatusOk;
    });
    server.Post("/faults/log", [this](const httplib::Request &request, httplib::Response &response) {
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            response.status = StatusBadRequest;
            return;
        }
        ListenerFaults faults;
        faults.delay = std::chrono::milliseconds(body.value("delay-ms", 0));
        faults.down = body.value("down", false);
        faults.loseAppendAnswers = body.value("lose-append-answers", false);
        setLogFaults(body.value("listener", -1), faults);
        if (body.contains("expire-before")) {
            log->expire(body.value("expire-before", Offset(0)));
        }
        response.status = StatusOk;
    });
}

void PlatformServer::Impl::addLedgerHandlers()
{
    httplib::Server &server = platform.server();
    server.Get("/ledger/requests", [this](const httplib::Request &, httplib::Response &response) {
        writeJson(response, fleet.ledger().runsByRequest());
    });
    server.Get("/ledger/teams", [this](const httplib::Request &, httplib::Response &response) {
        Json body = Json::object();
        for (const auto &[team, runs] : fleet.ledger().teams()) {
            body[team] = {{"running", runs.running}, {"running-most", runs.maxRunning}, {"started", runs.started}, {"busy-ms", runs.busyMs}};
        }
        writeJson(response, body);
    });
    server.Get("/ledger/late-start", [this](const httplib::Request &, httplib::Response &response) {
        writeJson(response, {{"late-start-most-ms", fleet.ledger().maxLateStart().count()}});
    });
}

void PlatformServer::Impl::advance()
{
    std::unique_lock lock(mutex);
    while (!stopping) {
        lock.unlock();
        fleet.advance(steadyNow());
        lock.lock();
        wakeUp.wait_for(lock, AdvanceInterval);
    }
}

void PlatformServer::Impl::setLogFaults(int index, const ListenerFaults &faults)
{
    for (std::size_t listener = 0; listener < logListeners.size(); ++listener) {
        if (index < 0 || static_cast<std::size_t>(index) == listener) {
            const std::lock_guard lock(logListeners[listener]->mutex);
            logListeners[listener]->faults = faults;
        }
    }
}

PlatformServer::PlatformServer(std::shared_ptr<MemoryLog> log, FleetStandin &fleet, int logListeners, std::uint16_t port)
    : m_impl(std::make_unique<Impl>(std::move(log), fleet, port))
{
    for (int index = 0; index < logListeners; ++index) {
        m_impl->logListeners.push_back(std::make_unique<LogListener>());
        m_impl->addLogHandlers(*m_impl->logListeners.back());
        m_impl->logListeners.back()->listener->start();
    }
    m_impl->addPlatformHandlers();
    m_impl->addFaultHandlers();
    m_impl->addLedgerHandlers();
    m_impl->platform.start();
    m_impl->advanceThread = std::thread([this] {
        m_impl->advance();
    });
}

PlatformServer::~PlatformServer()
{
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->stopping = true;
        m_impl->wakeUp.notify_all();
    }
    m_impl->log->close();
    m_impl->advanceThread.join();
}

std::uint16_t PlatformServer::platformPort() const
{
    return m_impl->platform.port();
}

std::vector<std::uint16_t> PlatformServer::logPorts() const
{
    std::vector<std::uint16_t> ports;
    for (const auto &entry : m_impl->logListeners) {
        ports.push_back(entry->listener->port());
    }
    return ports;
}

void PlatformServer::setLogFaults(int index, ListenerFaults faults)
{
    m_impl->setLogFaults(index, faults);
}

void PlatformServer::setListDown(bool down)
{
    m_impl->listDown = down;
}

}
