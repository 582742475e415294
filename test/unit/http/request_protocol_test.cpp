/** @file request_protocol_test.cpp What the status of an answer promises to callers. */

#include "adapter/http/request_protocol.h"
#include "support/test_section.h"

#include <set>

using namespace wisteriahoist;

// A booking runs twice: a backend server answers a bare 503 to a request that it has run, the node
// passes it on, and the caller takes it for a promise and repeats. The node holds back what its
// list names, so one status too few lets that happen, and one too many turns whole answers into
// errors.
Test(request_protocol, exactly_four_statuses_promise_that_nothing_has_run)
{
    const std::set<unsigned> promising{408, 421, 429, 503};
    constexpr unsigned StatusEnd = 1000;
    for (unsigned status = 0; status < StatusEnd; ++status) {
        cr_assert(impliesNotExecuted(status) == (promising.count(status) > 0), "status %u", status);
    }
}
