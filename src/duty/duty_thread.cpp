/** @file duty_thread.cpp The thread and event loop of one duty. */

#include "duty/duty_thread.h"

#include <pthread.h>

namespace wisteriahoist {

DutyThread::DutyThread(std::string name)
    : name_(std::move(name)), work_(context_.get_executor()) { }

DutyThread::~DutyThread()
{
    stop();
}

void DutyThread::start()
{
    thread_ = std::thread([this]() {
        pthread_setname_np(pthread_self(), name_.c_str());
        context_.run();
    });
}

void DutyThread::stop()
{
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

} // namespace wisteriahoist
