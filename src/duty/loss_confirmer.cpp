/** @file loss_confirmer.cpp Stores an operator's confirmation that VMs are permanently lost. */

#include "duty/loss_confirmer.h"

#include "adapter/codec/ownership_codec.h"

namespace wisteriahoist {

namespace {

/** @return The confirmed term; 0 if there is none. */
Result<Term> readTerm(const VersionedObject &object)
{
    return object.version == AbsentObject ? Result<Term>(Term(0))
                                          : decodeLossConfirmation(object.content);
}

} // namespace

PlatformStore::Pending<Term> LossConfirmer::confirm(Term term, Term known, std::string confirmedBy)
{
    if (confirmedBy.empty()) {
        co_return Failure{FailureCode::BadArgument, "confirmed_by: must not be empty"};
    }
    if (term == Term(0) || term > known) {
        co_return Failure{FailureCode::BadArgument,
                          "term: " + std::to_string(term.value()) + " is not between 1 and "
                                  + std::to_string(known.value()) + ", the latest known term"};
    }
    Result<VersionedObject> stored = co_await platform_.read(object_);
    if (!stored) {
        co_return std::move(stored).as_failure();
    }
    Result<Term> confirmed = readTerm(stored.assume_value());
    if (!confirmed || confirmed.assume_value() >= term) {
        co_return confirmed;
    }
    v1::LossConfirmation message;
    message.set_term(term.value());
    message.set_confirmed_by(std::move(confirmedBy));
    Result<ObjectVersion> written = co_await platform_.write(object_, stored.assume_value().version,
                                                             message.SerializeAsString());
    if (written) {
        co_return term;
    }
    // A lost reply leaves the result open: only the stored object shows whether the write took
    // effect.
    Result<VersionedObject> again = co_await platform_.read(object_);
    if (!again) {
        co_return std::move(written).as_failure();
    }
    confirmed = readTerm(again.assume_value());
    if (confirmed && confirmed.assume_value() < term) {
        co_return std::move(written).as_failure();
    }
    co_return confirmed;
}

} // namespace wisteriahoist
