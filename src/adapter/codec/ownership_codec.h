/** @file ownership_codec.h Converts ownership types to and from protobuf. */

#pragma once

#include "decision/ownership/ownership_type.h"
#include "wisteriahoist/v1/control.pb.h"
#include "wisteriahoist/v1/objects.pb.h"

namespace wisteriahoist {

v1::Member encodeMember(const MemberInfo &info);
MemberInfo decodeMember(const v1::Member &message);

std::string encodeTerm(const TermRecord &record);
Result<TermRecord> decodeTerm(const std::string &bytes);

/** @return The term up to which an operator has confirmed that missing members are lost. */
Result<Term> decodeLossConfirmation(const std::string &bytes);

v1::AssignmentObject encodeAssignmentMessage(const AssignmentRecord &record);
std::string encodeAssignment(const AssignmentRecord &record);
Result<AssignmentRecord> decodeAssignment(const std::string &bytes);
Result<AssignmentRecord> decodeAssignmentMessage(const v1::AssignmentObject &message);

std::string encodeRenewRequest(const RenewRequest &request);
Result<RenewRequest> decodeRenewRequest(const std::string &bytes);
std::string encodeRenewReply(const RenewReply &reply);
Result<RenewReply> decodeRenewReply(const std::string &bytes);

} // namespace wisteriahoist
