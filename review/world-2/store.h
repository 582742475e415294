/** @file store.h The platform's metadata store, as PROTOCOL.md tells it: objects by kind and name
 * under one revision counter, conditional writes, lists and watches. */

#pragma once

#include "net.h"

#include <boost/json.hpp>
#include <condition_variable>

namespace world {

namespace json = boost::json;

class Store
{
public:
    explicit Store(Address address) : address_(std::move(address)) { }

    bool start()
    {
        const int listener = listenOn(address_);
        if (listener < 0) {
            return false;
        }
        serve(listener, [this](int fd) { handle(fd); });
        return true;
    }

    /** Writes an object unconditionally, as the operator does. */
    void put(const std::string &kind, const std::string &name, const json::value &spec)
    {
        const std::lock_guard lock(mutex_);
        write(kind, name, spec);
    }

    /** @return The spec of an object; null: there is none. */
    json::value get(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        const auto found = objects_.find({kind, name});
        return found == objects_.end() ? json::value() : found->second.spec;
    }

    std::map<std::string, json::value> list(const std::string &kind)
    {
        const std::lock_guard lock(mutex_);
        std::map<std::string, json::value> found;
        for (const auto &[key, object] : objects_) {
            if (key.first == kind) {
                found[key.second] = object.spec;
            }
        }
        return found;
    }

    std::atomic<bool> down{false}; ///< Every call is answered with 503.

private:
    struct Object {
        uint64_t revision = 0;
        uint64_t created = 0;
        json::value spec;
    };
    struct Event {
        uint64_t revision = 0;
        std::string kind;
        json::value object;
    };

    static std::string answer(int status, const std::string &body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n"
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static json::value encode(const std::string &name, const Object &object)
    {
        json::object metadata{{"name", name}, {"revision", object.revision},
                              {"creation_rev", object.created}, {"finalizers", json::array()},
                              {"deleting", false}};
        return json::object{{"metadata", metadata}, {"spec", object.spec}, {"status", nullptr}};
    }

    Object &write(const std::string &kind, const std::string &name, const json::value &spec)
    {
        Object &object = objects_[{kind, name}];
        if (object.revision != 0 && object.spec == spec) {
            return object;
        }
        object.revision = ++revision_;
        object.created = object.created == 0 ? revision_ : object.created;
        object.spec = spec;
        events_.push_back({revision_, kind, encode(name, object)});
        changed_.notify_all();
        return object;
    }

    void handle(int fd)
    {
        Reader reader(fd);
        while (const auto request = reader.read()) {
            if (!request->whole || !sendAll(fd, respond(*request))) {
                return;
            }
        }
    }

    std::string respond(const Message &request)
    {
        if (down) {
            return answer(503, "{}");
        }
        const std::string method = request.word(0);
        std::string target = request.word(1);
        std::map<std::string, std::string> query;
        const size_t mark = target.find('?');
        if (mark != std::string::npos) {
            std::string rest = target.substr(mark + 1) + "&";
            target.resize(mark);
            for (size_t at = 0, end = 0; (end = rest.find('&', at)) != std::string::npos;
                 at = end + 1) {
                const std::string pair = rest.substr(at, end - at);
                query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
            }
        }
        const std::string prefix = "/-/objects/";
        if (target.rfind(prefix, 0) != 0) {
            return answer(404, "{}");
        }
        std::string kind = target.substr(prefix.size());
        std::string name;
        if (const size_t slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        std::unique_lock lock(mutex_);
        if (method == "GET" && !name.empty()) {
            const auto found = objects_.find({kind, name});
            return found == objects_.end()
                    ? answer(404, "{}")
                    : answer(200, json::serialize(encode(name, found->second)));
        }
        if (method == "GET" && query.count("watch") != 0) {
            return watch(lock, kind, strtoull(query["watch"].c_str(), nullptr, 10),
                         atoll(query["wait_ms"].c_str()));
        }
        if (method == "GET") {
            json::array items;
            for (const auto &[key, object] : objects_) {
                if (key.first == kind && key.second > query["after"]) {
                    items.push_back(encode(key.second, object));
                }
            }
            return answer(200, json::serialize(json::object{
                    {"items", items}, {"has_more", false}, {"store_revision", revision_}}));
        }
        if (method == "POST" || method == "PUT") {
            return change(method == "POST", kind, name, request.body);
        }
        return answer(404, "{}");
    }

    std::string change(bool creates, const std::string &kind, std::string name,
                       const std::string &body)
    {
        json::error_code error;
        const json::value sent = json::parse(body, error);
        if (error || !sent.is_object() || !sent.as_object().contains("spec")) {
            return answer(400, "{}");
        }
        uint64_t expected = 0;
        if (const json::value *metadata = sent.as_object().if_contains("metadata")) {
            const json::object &fields = metadata->as_object();
            if (creates && fields.contains("name")) {
                name = std::string(fields.at("name").as_string());
            }
            if (fields.contains("revision")) {
                expected = fields.at("revision").to_number<uint64_t>();
            }
        }
        const auto found = objects_.find({kind, name});
        const bool exists = found != objects_.end();
        if (!creates && !exists) {
            return answer(404, "{}");
        }
        if (exists && (creates || (expected != 0 && expected != found->second.revision))) {
            return answer(409, json::serialize(encode(name, found->second)));
        }
        const Object &written = write(kind, name, sent.as_object().at("spec"));
        return answer(200, json::serialize(encode(name, written)));
    }

    std::string watch(std::unique_lock<std::mutex> &lock, const std::string &kind, uint64_t since,
                      int64_t wait)
    {
        const auto end = std::chrono::steady_clock::now() + Ms(wait);
        while (true) {
            json::array events;
            for (const Event &event : events_) {
                if (event.revision > since && event.kind == kind) {
                    events.push_back(json::object{{"deleted", false}, {"object", event.object}});
                }
            }
            if (!events.empty() || std::chrono::steady_clock::now() >= end) {
                return answer(200, json::serialize(json::object{
                        {"events", events}, {"store_revision", revision_}}));
            }
            changed_.wait_until(lock, end);
        }
    }

    Address address_;
    std::mutex mutex_;
    std::condition_variable changed_;
    uint64_t revision_ = 100;
    std::map<std::pair<std::string, std::string>, Object> objects_;
    std::vector<Event> events_;
};

} // namespace world
