/** @file loss_confirmer_test.cpp An operator's word that VMs are gone, written once and never
 * falling. */

#include "duty/loss_confirmer.h"

#include "adapter/codec/ownership_codec.h"
#include "support/fake_platform.h"
#include "support/test_section.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

namespace asio = boost::asio;

constexpr Term KnownTerm{7};

asio::awaitable<void> confirmInto(FakePlatform &platform, Term term, std::string by,
                                  Result<Term> &result)
{
    LossConfirmer confirmer(platform, "cells/c/loss");
    result = co_await confirmer.confirm(term, KnownTerm, std::move(by));
}

Result<Term> confirm(FakePlatform &platform, Term term, const std::string &by = "kari")
{
    Result<Term> result = Failure{FailureCode::NotFound, "not run"};
    asio::io_context context;
    asio::co_spawn(context, confirmInto(platform, term, by, result), asio::detached);
    context.run();
    return result;
}

} // namespace

Test(ownership_loss, confirmation)
{
    FakePlatform platform;
    SECTION("a word without an author, or about a term that nobody knows, is refused")
    {
        cr_assert(confirm(platform, Term(3), "").assume_error().code == FailureCode::BadArgument);
        cr_assert(confirm(platform, Term(8)).assume_error().code == FailureCode::BadArgument);
        cr_assert(confirm(platform, Term(0)).assume_error().code == FailureCode::BadArgument);
        cr_assert(platform.writes == 0);
    }
    SECTION("it is written, and a lower one later changes nothing")
    {
        cr_assert(confirm(platform, Term(5)).assume_value() == Term(5));
        cr_assert(confirm(platform, Term(4)).assume_value() == Term(5));
        cr_assert(platform.writes == 1);
        cr_assert(decodeLossConfirmation(platform.content).assume_value() == Term(5));
    }
}

// The operator sees: confirmed. The write takes effect and its reply is lost; told "failed", the
// operator would look for another way although the word already stands. It is read back.
Test(ownership_loss, lost_reply)
{
    FakePlatform platform;
    platform.faults = {WriteFault::ReplyLost};
    cr_assert(confirm(platform, Term(5)).assume_value() == Term(5));
    SECTION("a write that did not take effect is told as failed")
    {
        platform.faults = {WriteFault::Swallowed};
        cr_assert(confirm(platform, Term(6)).assume_error().code == FailureCode::DeadlineExceeded);
    }
}
