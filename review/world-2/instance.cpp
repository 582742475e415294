/** @file instance.cpp A sound instance, as PROTOCOL.md tells it; --extra makes it a faulty one.
 *
 * It writes what arrives and what it runs to the record. */

#include "net.h"

#include <boost/json/src.hpp>
#include <condition_variable>
#include <set>

using namespace world;
namespace json = boost::json;

namespace {

constexpr int Keys = 65536;

/** Set by SIGUSR1: the instance is to leave as planned. */
std::atomic<bool> leaves{false};

struct Options {
    Address address;
    Address control;
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    std::string record;
    int slots = 12;
    int64_t heartbeat = 1500;
    int64_t firstBeat = 300; ///< Time from the start to the first liveness report.
    int64_t work = 200;
    bool sharded = false;
    /** It never reports draining: it deregisters first and goes on serving. A report that was sent
     *  right before arrives late by so much; 0: none does. */
    bool deregisters = false;
    int64_t lateReport = 0;
    int64_t drain = 2000;
    int64_t serveLonger = 4000;
    bool saysBorn = false; ///< Its reports tell when it was started:
    int64_t born = 0;      ///< the Unix millisecond.
    /** Bytes sent after a complete response, late: when the next request has come on the
     *  connection. Empty: none. */
    std::string extra;
    int extraEvery = 1;      ///< After each so many-th response.
    int64_t extraAfter = 0;  ///< From this time after the start.
    int64_t extraFor = 0;    ///< For this long.
};

struct Lease {
    int64_t fence = -1;
    int64_t until = 0;
    bool held = false;
};

class Instance
{
public:
    explicit Instance(const Options &options) : options_(options), record_(options.record) { }

    int run()
    {
        const int listener = listenOn(options_.address);
        if (listener < 0) {
            return 2;
        }
        log("up service=" + options_.service + " address=" + options_.address.text());
        serve(listener, [this](int fd) { handle(fd); });
        sleepMs(options_.firstBeat);
        while (true) {
            if (leaves && options_.deregisters) {
                return leaveWithoutDraining();
            }
            const int64_t sentAt = nowMs();
            const bool acked = beat();
            if (leaving_ && acked && ackedAt_ == 0) {
                ackedAt_ = nowMs();
                log("leaving-acked");
            }
            // It serves for `drain` after the ack and some seconds longer, and exits.
            if (ackedAt_ != 0 && nowMs() >= ackedAt_ + options_.drain + options_.serveLonger) {
                (void)call(options_.control,
                           makeRequest("POST", "/-/instances/" + options_.id + "/deregister",
                                       "control", "", ""),
                           1000);
                log("exits");
                return 0;
            }
            while (nowMs() < sentAt + options_.heartbeat && (leaving_ || !leaves)) {
                sleepMs(20);
            }
            if (leaves && !leaving_ && !options_.deregisters) {
                leaving_ = true;
                log("begins to leave");
            }
        }
    }

private:
    void log(const std::string &text) { record_.line("instance " + options_.id + " " + text); }

    int leaveWithoutDraining()
    {
        const std::string late = makeReport();
        const int64_t sentAt = nowMs();
        leaving_ = true;
        log("begins to leave");
        if (options_.lateReport > 0) {
            std::thread([this, late, sentAt]() {
                sleepMs(sentAt + options_.lateReport - nowMs());
                const auto reply = call(options_.control, late, 1000);
                log("late report, sent " + std::to_string(nowMs() - sentAt)
                    + " ms ago, is answered " + std::to_string(reply ? reply->status() : 0));
            }).detach();
        }
        while (ackedAt_ == 0) {
            const auto reply
                    = call(options_.control,
                           makeRequest("POST", "/-/instances/" + options_.id + "/deregister",
                                       "control", "", ""),
                           1000);
            if (reply && reply->status() / 100 == 2) {
                ackedAt_ = nowMs();
                log("leaving-acked");
            } else {
                sleepMs(100);
            }
        }
        sleepMs(options_.drain + options_.serveLonger);
        log("exits");
        return 0;
    }

    std::string makeReport()
    {
        json::object body{{"service", options_.service}, {"address", options_.address.text()},
                          {"zone", options_.zone}, {"version", "v1"}, {"slots", options_.slots},
                          {"state", leaving_ ? "draining" : "ready"}, {"cold_remaining", "0ms"},
                          {"sequence", ++sequence_}};
        if (options_.saysBorn) {
            body["born"] = options_.born;
        }
        return makeRequest("POST", "/-/instances/" + options_.id + "/heartbeat", "control",
                           "Content-Type: application/json\r\n", json::serialize(body));
    }

    /** @return Whether the report has its ack. */
    bool beat()
    {
        const auto reply = call(options_.control, makeReport(), 1000);
        return reply && reply->whole && reply->status() / 100 == 2;
    }

    std::string answer(const Message &request, int status, const std::string &fields,
                       const std::string &body = {}) const
    {
        const std::string attempt = request.field("X-Wisteriahoist-Attempt-Id");
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n"
               + (attempt.empty() ? "" : "X-Wisteriahoist-Attempt-Id: " + attempt + "\r\n") + fields
               + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void handle(int fd)
    {
        Reader reader(fd);
        bool spoiled = false; ///< Bytes follow the last response, late.
        while (const auto request = reader.read()) {
            if (!request->whole) {
                return;
            }
            const std::string target = request->word(1);
            std::string reply;
            if (target == "/-/grant" || target == "/-/release") {
                reply = target == "/-/grant" ? grant(*request) : release(*request);
            } else if (target == "/health") {
                reply = answer(*request, leaving_ ? 503 : 200,
                               "X-Wisteriahoist-Instance-Id: " + options_.id + "\r\n");
            } else {
                if (spoiled) {
                    log("extra-bytes where the answer to " + attemptOf(*request)
                        + " is due; they belong to no request");
                    if (!sendAll(fd, options_.extra)) {
                        return;
                    }
                }
                reply = runRequest(*request, fd);
                spoiled = isSpoiled();
            }
            if (reply.empty() || !sendAll(fd, reply)) {
                return;
            }
        }
    }

    /** @return Whether additional bytes follow the response that is sent now. */
    bool isSpoiled()
    {
        const int64_t age = nowMs() - startedAt_;
        return !options_.extra.empty() && age >= options_.extraAfter
               && age < options_.extraAfter + options_.extraFor
               && ++arrived_ % options_.extraEvery == 0;
    }

    static std::string attemptOf(const Message &request)
    {
        return request.field("X-Wisteriahoist-Attempt-Id");
    }

    std::string runRequest(const Message &request, int fd)
    {
        const std::string attempt = attemptOf(request);
        const std::string notRun = "X-Wisteriahoist-Not-Executed: 1\r\n";
        if (attempt.empty()) {
            return answer(request, 400, notRun);
        }
        const std::string expected = request.field("X-Wisteriahoist-Expect-Instance");
        if (!expected.empty() && expected != options_.id) {
            log("misdirected " + attempt + " expects=" + expected);
            return answer(request, 421,
                          notRun + "X-Wisteriahoist-Instance-Id: " + options_.id + "\r\n");
        }
        const int key = atoi(request.field("X-Wisteriahoist-Shard-Key").c_str());
        {
            const std::lock_guard lock(mutex_);
            if (options_.sharded && !(leases_[key].held && nowMs() < leases_[key].until)) {
                log("not-held " + attempt + " key=" + std::to_string(key));
                return answer(request, 421,
                              notRun + "X-Wisteriahoist-Instance-Id: " + options_.id + "\r\n");
            }
            if (running_ >= options_.slots) {
                log("full " + attempt);
                return answer(request, 503, notRun);
            }
            ++running_;
            if (options_.sharded) {
                inUse_.insert(key);
            }
        }
        log("run " + attempt + " " + request.word(0) + " " + request.word(1));
        const int64_t end = nowMs() + options_.work;
        bool cut = false;
        while (!cut && nowMs() < end) {
            sleepMs(std::min<int64_t>(10, end - nowMs()));
            char next = 0;
            const ssize_t got = recv(fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
            cut = got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        }
        {
            const std::lock_guard lock(mutex_);
            --running_;
            if (options_.sharded) {
                inUse_.erase(inUse_.find(key));
            }
            ended_.notify_all();
        }
        log(std::string(cut ? "cut " : "done ") + attempt);
        if (cut) {
            return {};
        }
        const std::string body = "answer to " + attempt + " by " + options_.id + "\n";
        return answer(request, 200,
                      "X-Wisteriahoist-Server-Seal: seal-" + attempt + "-" + options_.id + "\r\n",
                      body);
    }

    std::string grant(const Message &request)
    {
        const json::object body = json::parse(request.body).as_object();
        const int from = int(body.at("from").to_number<int>());
        const int to = int(body.at("to").to_number<int>());
        const int64_t fence = body.at("fence").to_number<int64_t>();
        const int64_t hold = atoll(std::string(body.at("hold_time").as_string()).c_str());
        const std::lock_guard lock(mutex_);
        bool stale = false;
        bool renews = true;
        for (int key = from; key <= to; ++key) {
            stale = stale || leases_[key].fence > fence;
            renews = renews && leases_[key].held && leases_[key].fence == fence;
        }
        const std::string what = "from=" + std::to_string(from) + " to=" + std::to_string(to)
                                 + " fence=" + std::to_string(fence)
                                 + " hold=" + std::to_string(hold);
        if (stale) {
            log("grant-refused " + what);
            return answer(request, 409, "");
        }
        for (int key = from; key <= to; ++key) {
            leases_[key] = {fence, nowMs() + hold, true};
        }
        log((renews ? "renewed " : "taken ") + what);
        return answer(request, 200, "");
    }

    std::string release(const Message &request)
    {
        const json::object body = json::parse(request.body).as_object();
        const int from = int(body.at("from").to_number<int>());
        const int to = int(body.at("to").to_number<int>());
        const int64_t fence = body.at("fence").to_number<int64_t>();
        std::unique_lock lock(mutex_);
        for (int key = from; key <= to; ++key) {
            leases_[key].held = leases_[key].held && leases_[key].fence > fence;
            leases_[key].fence = std::max(leases_[key].fence, fence);
        }
        ended_.wait(lock, [&]() {
            const auto first = inUse_.lower_bound(from);
            return first == inUse_.end() || *first > to;
        });
        log("released from=" + std::to_string(from) + " to=" + std::to_string(to)
            + " fence=" + std::to_string(fence));
        return answer(request, 200,
                      "X-Wisteriahoist-Handover: h" + std::to_string(fence) + "\r\n");
    }

    Options options_;
    Record record_;
    const int64_t startedAt_ = nowMs();
    std::mutex mutex_;
    std::condition_variable ended_;
    std::vector<Lease> leases_ = std::vector<Lease>(Keys);
    std::multiset<int> inUse_;
    int running_ = 0;
    std::atomic<int> arrived_{0};
    int64_t sequence_ = 0;
    std::atomic<bool> leaving_{false};
    int64_t ackedAt_ = 0; ///< When its leaving was acknowledged; 0: not yet.
};

} // namespace

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    signal(SIGUSR1, [](int) { leaves = true; });
    Options options;
    for (int index = 1; index + 1 < argc; index += 2) {
        const std::string name = argv[index];
        const std::string value = argv[index + 1];
        if (name == "--address") {
            options.address = parseAddress(value);
        } else if (name == "--control") {
            options.control = parseAddress(value);
        } else if (name == "--id") {
            options.id = value;
        } else if (name == "--service") {
            options.service = value;
        } else if (name == "--zone") {
            options.zone = value;
        } else if (name == "--record") {
            options.record = value;
        } else if (name == "--slots") {
            options.slots = atoi(value.c_str());
        } else if (name == "--heartbeat") {
            options.heartbeat = atoll(value.c_str());
        } else if (name == "--first-beat") {
            options.firstBeat = atoll(value.c_str());
        } else if (name == "--work") {
            options.work = atoll(value.c_str());
        } else if (name == "--sharded") {
            options.sharded = value == "1";
        } else if (name == "--born") {
            options.saysBorn = value != "0";
            options.born = atoll(value.c_str());
        } else if (name == "--deregisters") {
            options.deregisters = value == "1";
        } else if (name == "--late-report") {
            options.lateReport = atoll(value.c_str());
        } else if (name == "--serve-longer") {
            options.serveLonger = atoll(value.c_str());
        } else if (name == "--extra") {
            options.extra = value;
        } else if (name == "--extra-every") {
            options.extraEvery = atoi(value.c_str());
        } else if (name == "--extra-after") {
            options.extraAfter = atoll(value.c_str());
        } else if (name == "--extra-for") {
            options.extraFor = atoll(value.c_str());
        } else {
            fprintf(stderr, "unknown option %s\n", name.c_str());
            return 2;
        }
    }
    return Instance(options).run();
}
