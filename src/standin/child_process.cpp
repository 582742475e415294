/** @file child_process.cpp Starts, signals and ends child processes. */

#include "standin/child_process.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace wisteriahoist {

ChildProcess::ChildProcess(const std::vector<std::string> &arguments, const std::string &errorFile,
                           const std::string &outputFile)
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe");
    }
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    if (outputFile.empty()) {
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    } else {
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorFile.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0644);
    // A child that inherited our sockets would keep them open after we have closed them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<char *> pointers;
    for (const std::string &argument : arguments) {
        pointers.push_back(const_cast<char *>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    const int error = posix_spawn(&id_, pointers[0], &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
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
