/** @file request_protocol_test.cpp Response statuses that guarantee that a request has not run. */

#include "adapter/http/request_protocol.h"
#include "support/test_section.h"

#include <set>

using namespace wisteriahoist;

// Guards against executing a request twice: a backend server responds with a bare 503 to a request
// that it has executed, the node forwards it, and the caller takes it as "not executed" and
// retries. The node does not forward the listed statuses. A missing one permits the duplicate; an
// additional one turns valid responses into errors.
Test(request_protocol, exactly_four_statuses_imply_not_executed)
{
    const std::set<unsigned> notExecuted{408, 421, 429, 503};
    constexpr unsigned StatusEnd = 1000;
    for (unsigned status = 0; status < StatusEnd; ++status) {
        cr_assert(impliesNotExecuted(status) == (notExecuted.count(status) > 0), "status %u",
                  status);
    }
}
