/** @file duty_thread.h The thread and event loop of one duty. */

#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace wisteriahoist {

/** One thread that runs one io_context. */
class DutyThread
{
public:
    explicit DutyThread(std::string name);
    ~DutyThread();
    DutyThread(const DutyThread &) = delete;
    DutyThread &operator=(const DutyThread &) = delete;

    boost::asio::io_context &context() { return context_; }
    void start();

    /** Ends the loop and joins the thread. */
    void stop();

private:
    std::string name_; ///< Shown by the operating system; 15 characters at most.
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace wisteriahoist
