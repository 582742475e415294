/** @file platform_http_store.h Client of the platform's object API over HTTP/1.1. */

#pragma once

#include "adapter/http/http_client.h"
#include "port/platform_store.h"

namespace wisteriahoist {

/** Implements PlatformStore over HTTP/1.1; docs/PLATFORM-API.md lists the calls. */
class PlatformHttpStore final : public PlatformStore
{
public:
    PlatformHttpStore(asio::any_io_executor executor, const std::string &ip, uint16_t port,
                      milliseconds timeout);

    Pending<VersionedObject> read(std::string name) override;
    Pending<ObjectVersion> write(std::string name, ObjectVersion expected,
                                 std::string content) override;
    Pending<ObjectVersion> remove(std::string name, ObjectVersion expected) override;
    Pending<std::vector<std::string>> list(std::string prefix) override;
    Pending<VersionedObject> watch(std::string name, ObjectVersion known,
                                   milliseconds wait) override;

    uint64_t callCount() const { return callCount_; }

private:
    asio::awaitable<Result<HttpResponse>> send(HttpRequest request, milliseconds timeout);

    HttpClient client_;
    milliseconds timeout_; ///< Timeout of one call, in addition to the wait of a watch.
    uint64_t callCount_ = 0;
};

} // namespace wisteriahoist
