// Conversion between peer messages and their Cap'n Proto representation.
#pragma once

#include "hemlockhill/peer_messages.h"
#include "peers/peer.capnp.h"

namespace Hemlockhill
{

// Every read function throws DecodeError on an invalid value.

void write(Wire::Envelope::Builder builder, const Envelope &envelope);
Envelope read(Wire::Envelope::Reader reader);

void write(Wire::IdentityReply::Builder builder, const IdentityReply &reply);
IdentityReply read(Wire::IdentityReply::Reader reader);

void write(Wire::LeaveReply::Builder builder, const LeaveReply &reply);
LeaveReply read(Wire::LeaveReply::Reader reader);

void write(Wire::FollowRequest::Builder builder, const FollowRequest &request);
FollowRequest read(Wire::FollowRequest::Reader reader);

void write(Wire::FollowReply::Builder builder, const FollowReply &reply);
FollowReply read(Wire::FollowReply::Reader reader);

void write(Wire::AttestReply::Builder builder, const AttestReply &reply);
AttestReply read(Wire::AttestReply::Reader reader);

void write(Wire::SubmitReply::Builder builder, const SubmitReply &reply);
SubmitReply read(Wire::SubmitReply::Reader reader);

void write(Wire::QueryReply::Builder builder, const QueryReply &reply);
QueryReply read(Wire::QueryReply::Reader reader);

} // namespace Hemlockhill
