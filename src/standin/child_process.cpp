/** @file child_process.cpp Starts, signals and ends child processes. */

#include "standin/child_process.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace wisteriahoist {

namespace {

constexpr int NotStarted = 127; ///< Exit code of a child whose program can't be run, as in shells.

// Between fork() and execv() a child may only make system calls: other threads may hold locks.

/** Lets @p target be @p file, or a copy of @p descriptor if no file is named. */
void redirect(int target, int descriptor, const std::string &file, int flags)
{
    const int source
            = file.empty() ? descriptor : open(file.c_str(), O_WRONLY | O_CREAT | flags, 0644);
    if (source < 0 || dup2(source, target) < 0) {
        _exit(NotStarted);
    }
}

/** Runs the program; it ends with @p parent, however that ends. */
[[noreturn]] void become(const std::vector<char *> &arguments, pid_t parent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // A child that inherited our sockets would keep them open after we have closed them.
    if (getppid() != parent || close_range(STDERR_FILENO + 1, ~0U, 0) != 0) {
        _exit(NotStarted);
    }
    execv(arguments.front(), arguments.data());
    _exit(NotStarted);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &arguments, const std::string &errorFile,
                           const std::string &outputFile)
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe");
    }
    std::vector<char *> pointers;
    for (const std::string &argument : arguments) {
        pointers.push_back(const_cast<char *>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    const pid_t parent = getpid();
    id_ = fork();
    const int error = id_ < 0 ? errno : 0;
    if (id_ == 0) {
        redirect(STDOUT_FILENO, ends[1], outputFile, O_APPEND);
        redirect(STDERR_FILENO, -1, errorFile, O_TRUNC);
        become(pointers, parent);
    }
    close(ends[1]);
    output_ = ends[0];
    if (error != 0) {
        close(output_);
        throw std::system_error(error, std::generic_category(), arguments.front());
    }
}

ChildProcess::~ChildProcess()
{
    if (!ended_) {
        signal(SIGCONT);
        signal(SIGKILL);
        wait();
    }
    closeOutput();
}

void ChildProcess::closeOutput()
{
    if (output_ >= 0) {
        close(output_);
        output_ = -1;
    }
}

std::string ChildProcess::readLine()
{
    std::string line;
    char next = 0;
    while (read(output_, &next, 1) == 1 && next != '\n') {
        line.push_back(next);
    }
    return line;
}

void ChildProcess::signal(int signal)
{
    if (!ended_) {
        kill(id_, signal);
    }
}

void ChildProcess::onEnd(int status)
{
    ended_ = true;
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool ChildProcess::hasEnded()
{
    int status = 0;
    if (!ended_ && waitpid(id_, &status, WNOHANG) == id_) {
        onEnd(status);
    }
    return ended_;
}

int ChildProcess::wait()
{
    if (!ended_) {
        int status = 0;
        waitpid(id_, &status, 0);
        onEnd(status);
    }
    return exitCode_;
}

uint64_t numberAfter(const std::string &line, const std::string &name)
{
    const size_t at = line.find(name + "=");
    return at == std::string::npos
                   ? 0
                   : std::strtoull(line.c_str() + at + name.size() + 1, nullptr, 10);
}

} // namespace wisteriahoist
