/** @file proxy.h A TCP proxy whose open connections can be silenced for good. */

#pragma once

#include "net.h"

#include <memory>
#include <set>

namespace world {

class Proxy
{
public:
    Proxy(Address address, Address target)
        : address_(std::move(address)), target_(std::move(target))
    { }

    bool start()
    {
        const int listener = listenOn(address_);
        if (listener < 0) {
            return false;
        }
        serve(listener, [this](int fd) { carry(fd); });
        return true;
    }

    /** The connections that are open now carry nothing any more; later ones work.
     *  @return Their number. */
    size_t silence()
    {
        const std::lock_guard lock(mutex_);
        for (const auto &silent : open_) {
            *silent = true;
        }
        return open_.size();
    }

private:
    void carry(int client)
    {
        const int server = connectTo(target_, 1000);
        if (server < 0) {
            return;
        }
        const auto silent = std::make_shared<std::atomic<bool>>(false);
        {
            const std::lock_guard lock(mutex_);
            open_.insert(silent);
        }
        pollfd ends[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
        bool open = true;
        while (open) {
            if (poll(ends, 2, 50) <= 0) {
                continue;
            }
            for (int side = 0; side < 2 && open; ++side) {
                if (ends[side].revents == 0) {
                    continue;
                }
                char chunk[16384];
                const ssize_t count = recv(ends[side].fd, chunk, sizeof(chunk), 0);
                if (count <= 0) {
                    open = false;
                } else if (!*silent) {
                    open = sendAll(ends[1 - side].fd, std::string(chunk, size_t(count)));
                }
            }
        }
        {
            const std::lock_guard lock(mutex_);
            open_.erase(silent);
        }
        close(server);
    }

    Address address_;
    Address target_;
    std::mutex mutex_;
    std::set<std::shared_ptr<std::atomic<bool>>> open_;
};

} // namespace world
