#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Cornelquay::Details {

/**
 * Calls a function again and again in a thread of its own, with a pause between two calls.
 *
 * Member of an object that has such work; declared last, so that it ends before what it uses.
 * Thread-safe.
 */
class PeriodicTask
{
public:
    PeriodicTask(std::chrono::milliseconds interval, std::function<void()> work);
    ~PeriodicTask();
    PeriodicTask(const PeriodicTask &) = delete;
    PeriodicTask &operator=(const PeriodicTask &) = delete;

    void start();
    /** Ends the pause at once. */
    void runNow();
    /** Waits for a call under way and ends the thread. */
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
