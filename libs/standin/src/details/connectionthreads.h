#pragma once

#include <httplib.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Cornelquay::Details {

/** Serves each connection in a thread of its own, so that idle connections cannot exhaust a fixed pool of threads. */
class ConnectionThreads : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> job) override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_openConnections += 1;
        }
        std::thread([this, job = std::move(job)] {
            job();
            const std::lock_guard lock(m_mutex);
            m_openConnections -= 1;
            m_ended.notify_all();
        }).detach();
    }

    void shutdown() override
    {
        std::unique_lock lock(m_mutex);
        m_ended.wait(lock, [&] {
            return m_openConnections == 0;
        });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_ended;
    int m_openConnections = 0;
};

}
