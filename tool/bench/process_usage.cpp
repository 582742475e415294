/** @file process_usage.cpp What a process uses. */

#include "process_usage.h"

#include "adapter/http/http_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace wisteriahoist::bench {

namespace {

constexpr double NanosecondsPerSecond = 1e9;

/** @return The number behind @p field in a file of "Field:   number kB" lines. */
double readField(const std::string &file, const std::string &field)
{
    std::ifstream stream(file);
    std::string line;
    while (std::getline(stream, line)) {
        if (line.starts_with(field + ":")) {
            return std::strtod(line.c_str() + field.size() + 1, nullptr);
        }
    }
    return 0;
}

std::string get(uint16_t port, const std::string &target)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    beast::error_code error;
    stream.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), error);
    HttpRequest request(http::verb::get, target, 11);
    request.set(http::field::host, "127.0.0.1");
    http::write(stream, request, error);
    beast::flat_buffer buffer;
    HttpResponse response;
    http::read(stream, buffer, response, error);
    return error || response.result() != http::status::ok ? std::string() : response.body();
}

} // namespace

ProcessUsage readUsage(pid_t process)
{
    ProcessUsage usage;
    const std::string folder = "/proc/" + std::to_string(process);
    for (const auto &task : std::filesystem::directory_iterator(folder + "/task")) {
        std::string name;
        std::ifstream(task.path() / "comm") >> name;
        double nanoseconds = 0;
        std::ifstream(task.path() / "schedstat") >> nanoseconds;
        usage.threads[name] += nanoseconds / NanosecondsPerSecond;
        usage.cpuSeconds += nanoseconds / NanosecondsPerSecond;
    }
    usage.residentKb = readField(folder + "/status", "VmRSS");
    usage.privateKb = readField(folder + "/smaps_rollup", "Private_Clean")
                      + readField(folder + "/smaps_rollup", "Private_Dirty");
    return usage;
}

std::map<std::string, double> readMetrics(uint16_t adminPort)
{
    std::map<std::string, double> samples;
    std::istringstream page(get(adminPort, "/metrics"));
    std::string line;
    while (std::getline(page, line)) {
        const size_t space = line.rfind(' ');
        if (line.empty() || line.front() == '#' || space == std::string::npos) {
            continue;
        }
        const std::string value = line.substr(space + 1);
        samples[line.substr(0, space)] = value == "NaN" ? 0 : std::strtod(value.c_str(), nullptr);
    }
    return samples;
}

} // namespace wisteriahoist::bench
