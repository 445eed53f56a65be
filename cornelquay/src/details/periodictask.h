#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Cornelquay::Details {

/**
 * Calls a function repeatedly in its own thread: immediately after start(), and then each time an
 * interval has passed since the end of the previous call.
 *
 * Declare it as the last member of its owner, so that the thread ends before the members it uses are
 * destroyed. start() is called at most once. Thread-safe.
 */
class PeriodicTask
{
public:
    PeriodicTask(std::chrono::milliseconds interval, std::function<void()> work);
    ~PeriodicTask();
    PeriodicTask(const PeriodicTask &) = delete;
    PeriodicTask &operator=(const PeriodicTask &) = delete;

    void start();
    /** Makes the next call start without waiting for the interval. */
    void runNow();
    /** Waits for a call in progress and ends the thread. */
    void stop();

private:
    void run();

    const std::chrono::milliseconds m_interval;
    const std::function<void()> m_work;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_runNow = false;
    bool m_stopping = false;
    std::thread m_thread;
};

}
