/** @file child_process.h Starts, signals and ends child processes, for the demo and process tests.
 */

#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace wisteriahoist {

/** One child; it is killed and reaped when the object ends, and killed when the thread that has
 *  started it ends in any other way. */
class ChildProcess
{
public:
    /**
     * @param arguments The program and its arguments.
     * @param errorFile Where its standard error goes.
     * @param outputFile Its standard output is added there; empty: readLine() gives it.
     * @throws std::system_error if there can be no further process. A program that can't be run
     *         ends at once, with exit code 127.
     */
    ChildProcess(const std::vector<std::string> &arguments, const std::string &errorFile,
                 const std::string &outputFile = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** @return The next line of its standard output; empty at its end. Blocks. */
    std::string readLine();

    /** Nobody reads its standard output from now on. */
    void closeOutput();

    /** Sends @p signal; nothing if it has ended. */
    void signal(int signal);

    /** @return Whether it has ended; does not wait. */
    bool hasEnded();

    /** Waits for its end. @return Its exit code; 128 + signal if a signal ended it. */
    int wait();

    pid_t id() const { return id_; }

private:
    void onEnd(int status);

    pid_t id_ = -1;
    int output_ = -1;
    int exitCode_ = -1;
    bool ended_ = false;
};

/** @return The number behind "NAME=" in @p line; 0 if absent. */
uint64_t numberAfter(const std::string &line, const std::string &name);

} // namespace wisteriahoist
