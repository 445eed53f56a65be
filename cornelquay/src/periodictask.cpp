#include "details/periodictask.h"

namespace Cornelquay::Details {

PeriodicTask::PeriodicTask(std::chrono::milliseconds interval, std::function<void()> work)
    : m_interval(interval)
    , m_work(std::move(work))
{
}

PeriodicTask::~PeriodicTask()
{
    stop();
}

void PeriodicTask::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void PeriodicTask::runNow()
{
    const std::lock_guard lock(m_mutex);
    m_runNow = true;
    m_wakeUp.notify_all();
}

void PeriodicTask::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_wakeUp.notify_all();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void PeriodicTask::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        m_work();
        lock.lock();
        m_wakeUp.wait_for(lock, m_interval, [&] {
            return m_stopping || m_runNow;
        });
        m_runNow = false;
    }
}

}
