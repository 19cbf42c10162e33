// Names and encodings of the consensus types.
#include "hemlockhill/consensus.h"

#include <boost/json.hpp>

namespace Hemlockhill
{

namespace
{

boost::json::array namesOf(const std::set<VoterId> &members)
{
    boost::json::array names;
    for (const VoterId &member : members) {
        names.emplace_back(member.value);
    }
    return names;
}

std::set<VoterId> membersOf(const boost::json::value &names)
{
    std::set<VoterId> members;
    for (const boost::json::value &name : names.as_array()) {
        members.insert(VoterId{std::string(name.as_string())});
    }
    return members;
}

} // namespace

std::string encodeMembership(const VoterMembership &membership)
{
    boost::json::object object;
    object["voters"] = namesOf(membership.voters);
    object["learners"] = namesOf(membership.learners);
    return boost::json::serialize(object);
}

VoterMembership decodeMembership(std::string_view text)
{
    try {
        const boost::json::value value = boost::json::parse(boost::json::string_view(text.data(), text.size()));
        const boost::json::object &object = value.as_object();
        return VoterMembership{membersOf(object.at("voters")), membersOf(object.at("learners"))};
    } catch (const std::exception &error) {
        throw DecodeError(std::string("voter membership: ") + error.what());
    }
}

std::string_view toText(VoterRole role)
{
    switch (role) {
    case VoterRole::Follower:
        return "follower";
    case VoterRole::PreCandidate:
        return "pre-candidate";
    case VoterRole::Candidate:
        return "candidate";
    case VoterRole::Leader:
        return "leader";
    case VoterRole::Learner:
        break;
    }
    return "learner";
}

std::string_view toText(MembershipChangeKind kind)
{
    switch (kind) {
    case MembershipChangeKind::AddLearner:
        return "add_learner";
    case MembershipChangeKind::PromoteLearner:
        return "promote_learner";
    case MembershipChangeKind::Remove:
        break;
    }
    return "remove";
}

bool ConsensusActions::empty() const
{
    return !mark && messages.empty() && !restore && committed.empty();
}

} // namespace Hemlockhill
