// Encoding and UDP transport of datagrams between nodes.
#include "hemlockhill/peer_datagrams.h"

#include "hemlockhill/failure.h"
#include "hemlockhill/overloaded.h"
#include "peer.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <utility>

namespace Hemlockhill
{

namespace
{

using boost::asio::ip::udp;

// A message to this number of nodes or fewer is no burden on a link, and is sent at once.
constexpr std::size_t ImmediateReceivers = 12;
// Interval at which broadcasts are sent on that had to wait.
constexpr Duration BroadcastPeriod = std::chrono::milliseconds(5);
// Far above what any endpoint holds.
constexpr std::uint32_t WaitingLimit = 1'000'000;
constexpr std::uint64_t TokenLimit = 1'000'000'000'000;
// Ages beyond a month are not distinguished.
constexpr std::int64_t AgeLimitMs = 31LL * 24 * 3'600 * 1'000;

void write(Wire::PeerDatagram::Builder builder, const DispatchNotice &notice)
{
    builder.setEndpoint(notice.endpoint.value);
    builder.setPromptTokens(notice.prompt.value);
    builder.setInFlight(notice.inFlight);
    builder.setRejected(notice.rejected);
    builder.setInFlightTokens(notice.tokens.value);
}

void write(Wire::StreamOriginMessage::Builder builder, const StreamOrigin &origin)
{
    builder.setRequest(origin.request.value);
    builder.setVersion(origin.version.value);
    builder.setKind(Wire::StreamOriginMessage::Kind::ORIGIN);
}

void write(Wire::StreamOriginMessage::Builder builder, const StreamOriginQuery &query)
{
    builder.setRequest(query.request.value);
    builder.setKind(Wire::StreamOriginMessage::Kind::QUERY);
}

void write(Wire::StreamOriginMessage::Builder builder, const StreamOriginReply &reply)
{
    builder.setRequest(reply.request.value);
    builder.setVersion(reply.version.value);
    builder.setKind(Wire::StreamOriginMessage::Kind::REPLY);
}

void write(Wire::PeerDatagram::Builder builder, const StreamOriginMessage &message)
{
    std::visit([&builder](const auto &typed) { write(builder.initStreamOrigin(), typed); }, message);
}

// Identities on the wire are plain numbers.
template<typename Identity>
void writeList(capnp::List<std::uint64_t>::Builder list, const std::vector<Identity> &identities)
{
    for (unsigned index = 0; index < identities.size(); ++index) {
        list.set(index, identities[index].value);
    }
}

template<typename Identity>
std::vector<Identity> readList(capnp::List<std::uint64_t>::Reader list)
{
    std::vector<Identity> identities;
    for (const std::uint64_t value : list) {
        identities.push_back(Identity{value});
    }
    return identities;
}

std::uint32_t ageMs(Duration age)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 0, AgeLimitMs));
}

void write(Wire::CrashSuspect::Builder builder, const CrashSuspect &suspect)
{
    const auto count = static_cast<unsigned>(suspect.losses.size());
    builder.setFingerprint(suspect.fingerprint.value);
    auto losses = builder.initLosses(count);
    auto ages = builder.initAgesMs(count);
    auto uncertainties = builder.initUncertaintiesMs(count);
    for (unsigned index = 0; index < count; ++index) {
        losses.set(index, suspect.losses[index].loss.value);
        ages.set(index, ageMs(suspect.losses[index].age));
        uncertainties.set(index, ageMs(suspect.losses[index].uncertainty));
    }
}

CrashSuspect read(Wire::CrashSuspect::Reader reader)
{
    CrashSuspect suspect;
    suspect.fingerprint = Fingerprint{reader.getFingerprint()};
    const auto losses = reader.getLosses();
    const auto ages = reader.getAgesMs();
    if (losses.size() != ages.size()) {
        throw DecodeError("notice names another number of losses than of their ages");
    }
    // Nodes of earlier versions name none.
    const auto uncertainties = reader.getUncertaintiesMs();
    for (unsigned index = 0; index < losses.size(); ++index) {
        const std::chrono::milliseconds uncertainty(index < uncertainties.size() ? uncertainties[index] : 0);
        suspect.losses.push_back({LossId{losses[index]}, std::chrono::milliseconds(ages[index]), uncertainty});
    }
    return suspect;
}

void write(Wire::CrashSuspectNotice::Builder builder, const std::vector<CrashTrial> &trials)
{
    const auto count = static_cast<unsigned>(trials.size());
    auto tried = builder.initTried(count);
    auto triedAt = builder.initTriedAt(count);
    for (unsigned index = 0; index < count; ++index) {
        tried.set(index, trials[index].fingerprint.value);
        triedAt.set(index, trials[index].loss.value);
    }
}

void write(Wire::PeerDatagram::Builder builder, const CrashSuspectNotice &notice)
{
    auto message = builder.initCrashSuspects();
    auto suspects = message.initSuspects(static_cast<unsigned>(notice.suspects.size()));
    for (unsigned index = 0; index < notice.suspects.size(); ++index) {
        write(suspects[index], notice.suspects[index]);
    }
    writeList(message.initAnswered(static_cast<unsigned>(notice.answered.size())), notice.answered);
    writeList(message.initDisproved(static_cast<unsigned>(notice.disproved.size())), notice.disproved);
    writeList(message.initAnsweredBefore(static_cast<unsigned>(notice.answeredBefore.size())), notice.answeredBefore);
    write(message, notice.tried);
    message.setIsRequest(notice.isRequest);
    message.setSubject(notice.subject == CrashSuspectSubject::Request ? Wire::CrashSuspectNotice::Subject::REQUEST
                                                                      : Wire::CrashSuspectNotice::Subject::PROMPT_PART);
}

void write(Wire::PeerDatagram::Builder builder, const RateLimitNotice &notice)
{
    auto message = builder.initRateLimit();
    message.setEndpoint(notice.endpoint.value);
    message.setIncarnation(notice.incarnation.value);
    message.setRate(notice.rate ? notice.rate->value : 0);
    message.setAgeMs(ageMs(notice.age));
    message.setCount(notice.count.value);
    message.setDispatched(notice.dispatched);
    message.setWantsReply(notice.wantsReply);
}

RateLimitNotice read(Wire::RateLimitNotice::Reader reader)
{
    const double rate = reader.getRate();
    if (!std::isfinite(rate) || rate < 0) {
        throw DecodeError("rate limit in a notice is not a rate");
    }
    RateLimitNotice notice;
    notice.endpoint = EndpointId{std::string(reader.getEndpoint().cStr())};
    notice.incarnation = Incarnation{std::string(reader.getIncarnation().cStr())};
    notice.rate = rate > 0 ? std::optional(RequestRate{rate}) : std::nullopt;
    notice.age = std::chrono::milliseconds(reader.getAgeMs());
    notice.count = CountId{reader.getCount()};
    notice.dispatched = reader.getDispatched();
    notice.wantsReply = reader.getWantsReply();
    return notice;
}

void write(Wire::PeerDatagram::Builder builder, const ForwardingMessage &message)
{
    auto forwarding = builder.initForwarding();
    forwarding.setIsQuery(message.isQuery);
    forwarding.setDataCentre(message.dataCentre.value);
    forwarding.setCapacity(message.capacity);
}

ForwardingMessage read(Wire::ForwardingMessage::Reader reader)
{
    return {reader.getIsQuery(), DataCentreId{std::string(reader.getDataCentre().cStr())}, reader.getCapacity()};
}

// Writes the subject of a load query or report.
template<typename Builder>
void write(Builder message, const LoadSubject &subject)
{
    message.setService(subject.service.value);
    message.setModel(subject.target.model.value);
    message.setAdapter(subject.target.adapter.value);
}

template<typename Reader>
LoadSubject readSubject(const Reader &reader)
{
    const RoutingTarget target{ModelId{std::string(reader.getModel().cStr())}, AdapterId{std::string(reader.getAdapter().cStr())}};
    return {ServiceId{std::string(reader.getService().cStr())}, target};
}

// Sums of what a message declares must not overflow.
TokenCount readTokens(std::uint64_t tokens)
{
    return TokenCount{std::min(tokens, TokenLimit)};
}

std::int64_t microseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

// Times beyond an hour are not distinguished.
Duration readTime(std::int64_t time)
{
    const std::int64_t limit = microseconds(std::chrono::hours(1));
    return std::chrono::microseconds(std::clamp(time, -limit, limit));
}

void write(Wire::WaitingAtNode::Builder builder, const WaitingAtNode &waiting)
{
    builder.setWorkspacePriority(waiting.workspacePriority);
    builder.setPriority(waiting.priority);
    builder.setIsNew(waiting.isNew);
    builder.setIsLate(waiting.isLate);
    builder.setDispatchInUs(microseconds(waiting.dispatchIn));
    builder.setAgeUs(microseconds(waiting.age));
    builder.setRequests(waiting.requests);
    builder.setHasYielded(waiting.hasYielded);
}

WaitingAtNode read(Wire::WaitingAtNode::Reader reader)
{
    WaitingAtNode waiting;
    waiting.workspacePriority = reader.getWorkspacePriority();
    waiting.priority = reader.getPriority();
    waiting.isNew = reader.getIsNew();
    waiting.isLate = reader.getIsLate();
    waiting.dispatchIn = readTime(reader.getDispatchInUs());
    waiting.age = readTime(reader.getAgeUs());
    waiting.requests = std::min(reader.getRequests(), WaitingLimit);
    waiting.hasYielded = reader.getHasYielded();
    return waiting;
}

void write(Wire::PeerDatagram::Builder builder, const LoadQuery &query)
{
    auto message = builder.initLoadQuery();
    write(message, query.subject);
    auto endpoints = message.initEndpoints(static_cast<unsigned>(query.endpoints.size()));
    for (unsigned index = 0; index < query.endpoints.size(); ++index) {
        endpoints.set(index, query.endpoints[index].value);
    }
    auto own = message.initOwn(static_cast<unsigned>(query.own.size()));
    for (unsigned index = 0; index < query.own.size(); ++index) {
        own[index].setEndpoint(query.own[index].endpoint.value);
        own[index].setRequests(query.own[index].requests);
        own[index].setTokens(query.own[index].tokens.value);
    }
    message.setNumber(query.number);
    message.setTokens(query.tokens.value);
    if (query.waiting) {
        write(message.initWaiting(), *query.waiting);
    }
}

LoadQuery read(Wire::LoadQuery::Reader reader)
{
    LoadQuery query{readSubject(reader), {}, {}};
    for (const auto &endpoint : reader.getEndpoints()) {
        query.endpoints.push_back(EndpointId{std::string(endpoint.cStr())});
    }
    for (const auto &count : reader.getOwn()) {
        query.own.push_back({EndpointId{std::string(count.getEndpoint().cStr())}, count.getRequests(), readTokens(count.getTokens())});
    }
    query.number = reader.getNumber();
    query.tokens = readTokens(reader.getTokens());
    if (reader.hasWaiting()) {
        query.waiting = read(reader.getWaiting());
    }
    return query;
}

void write(Wire::PeerDatagram::Builder builder, const LoadReport &report)
{
    auto message = builder.initLoadReport();
    write(message, report.subject);
    auto loads = message.initLoads(static_cast<unsigned>(report.loads.size()));
    for (unsigned index = 0; index < report.loads.size(); ++index) {
        loads[index].setEndpoint(report.loads[index].others.endpoint.value);
        loads[index].setRequests(report.loads[index].others.requests);
        loads[index].setPromptAllowance(report.loads[index].promptAllowance);
        loads[index].setTokens(report.loads[index].others.tokens.value);
        loads[index].setGranted(report.loads[index].granted.value);
    }
    message.setNumber(report.number);
    message.setIsInvitation(report.isInvitation);
    if (report.elsewhere) {
        auto elsewhere = message.initElsewhere();
        elsewhere.setMoreUrgent(report.elsewhere->moreUrgent);
        elsewhere.setRequests(report.elsewhere->requests);
        elsewhere.setIsWithheld(report.elsewhere->isWithheld);
    }
}

LoadReport read(Wire::LoadReport::Reader reader)
{
    LoadReport report{readSubject(reader), {}};
    for (const auto &load : reader.getLoads()) {
        const EndpointRequests others{EndpointId{std::string(load.getEndpoint().cStr())}, load.getRequests(), readTokens(load.getTokens())};
        report.loads.push_back({others, load.getPromptAllowance(), readTokens(load.getGranted())});
    }
    report.number = reader.getNumber();
    report.isInvitation = reader.getIsInvitation();
    if (reader.hasElsewhere()) {
        const auto elsewhere = reader.getElsewhere();
        report.elsewhere = WaitingElsewhere{
            std::min(elsewhere.getMoreUrgent(), WaitingLimit), std::min(elsewhere.getRequests(), WaitingLimit), elsewhere.getIsWithheld()};
    }
    return report;
}

void write(Wire::PeerDatagram::Builder builder, const QuotaQuery &query)
{
    auto message = builder.initQuotaQuery();
    message.setId(query.id.value);
    message.setWorkspace(query.workspace.value);
    message.setShare(query.share.value);
    message.setCost(query.cost);
}

QuotaQuery read(Wire::QuotaQuery::Reader reader)
{
    if (reader.getShare() >= SharesOfWorkspace) {
        throw DecodeError("quota query is about a share that does not exist");
    }
    return {QuotaQueryId{reader.getId()},
            WorkspaceId{std::string(reader.getWorkspace().cStr())},
            ShareNumber{reader.getShare()},
            reader.getCost()};
}

void write(Wire::PeerDatagram::Builder builder, const QuotaReply &reply)
{
    auto message = builder.initQuotaReply();
    message.setId(reply.id.value);
    message.setWaitMs(ageMs(std::chrono::ceil<std::chrono::milliseconds>(reply.wait)));
    switch (reply.verdict) {
    case QuotaVerdict::Granted:
        message.setVerdict(Wire::QuotaReply::Verdict::GRANTED);
        return;
    case QuotaVerdict::Refused:
        message.setVerdict(Wire::QuotaReply::Verdict::REFUSED);
        return;
    case QuotaVerdict::NotOwner:
        message.setVerdict(Wire::QuotaReply::Verdict::NOT_OWNER);
        return;
    }
}

QuotaVerdict readVerdict(Wire::QuotaReply::Verdict verdict)
{
    switch (verdict) {
    case Wire::QuotaReply::Verdict::GRANTED:
        return QuotaVerdict::Granted;
    case Wire::QuotaReply::Verdict::REFUSED:
        return QuotaVerdict::Refused;
    case Wire::QuotaReply::Verdict::NOT_OWNER:
        return QuotaVerdict::NotOwner;
    }
    throw DecodeError("quota reply has an unknown verdict");
}

QuotaReply read(Wire::QuotaReply::Reader reader)
{
    return {QuotaQueryId{reader.getId()}, readVerdict(reader.getVerdict()), std::chrono::milliseconds(reader.getWaitMs())};
}

void write(Wire::PeerDatagram::Builder builder, const QuotaReturn &message)
{
    builder.initQuotaReturn().setId(message.id.value);
}

CrashSuspectSubject readCrashSubject(Wire::CrashSuspectNotice::Subject subject)
{
    switch (subject) {
    case Wire::CrashSuspectNotice::Subject::REQUEST:
        return CrashSuspectSubject::Request;
    case Wire::CrashSuspectNotice::Subject::PROMPT_PART:
        return CrashSuspectSubject::PromptPart;
    }
    throw DecodeError("notice is about an unknown subject");
}

std::vector<CrashTrial> readTrials(Wire::CrashSuspectNotice::Reader reader)
{
    std::vector<CrashTrial> trials;
    const auto tried = reader.getTried();
    const auto triedAt = reader.getTriedAt();
    for (unsigned index = 0; index < tried.size(); ++index) {
        trials.push_back({Fingerprint{tried[index]}, LossId{index < triedAt.size() ? triedAt[index] : 0}});
    }
    return trials;
}

CrashSuspectNotice read(Wire::CrashSuspectNotice::Reader reader)
{
    CrashSuspectNotice notice;
    for (const auto &suspect : reader.getSuspects()) {
        notice.suspects.push_back(read(suspect));
    }
    notice.answered = readList<Fingerprint>(reader.getAnswered());
    notice.disproved = readList<LossId>(reader.getDisproved());
    notice.answeredBefore = readList<Fingerprint>(reader.getAnsweredBefore());
    notice.tried = readTrials(reader);
    notice.isRequest = reader.getIsRequest();
    notice.subject = readCrashSubject(reader.getSubject());
    return notice;
}

StreamOriginMessage read(Wire::StreamOriginMessage::Reader reader)
{
    const RequestId request{std::string(reader.getRequest().cStr())};
    const SoftwareVersion version{std::string(reader.getVersion().cStr())};
    switch (reader.getKind()) {
    case Wire::StreamOriginMessage::Kind::ORIGIN:
        return StreamOrigin{request, version};
    case Wire::StreamOriginMessage::Kind::QUERY:
        return StreamOriginQuery{request};
    case Wire::StreamOriginMessage::Kind::REPLY:
        return StreamOriginReply{request, version};
    }
    throw DecodeError("datagram about a stream's origin is of an unknown kind");
}

PeerDatagram read(Wire::PeerDatagram::Reader reader)
{
    if (reader.hasStreamOrigin()) {
        return read(reader.getStreamOrigin());
    }
    if (reader.hasCrashSuspects()) {
        return read(reader.getCrashSuspects());
    }
    if (reader.hasRateLimit()) {
        return read(reader.getRateLimit());
    }
    if (reader.hasForwarding()) {
        return read(reader.getForwarding());
    }
    if (reader.hasLoadQuery()) {
        return read(reader.getLoadQuery());
    }
    if (reader.hasLoadReport()) {
        return read(reader.getLoadReport());
    }
    if (reader.hasQuotaQuery()) {
        return read(reader.getQuotaQuery());
    }
    if (reader.hasQuotaReply()) {
        return read(reader.getQuotaReply());
    }
    if (reader.hasQuotaReturn()) {
        return QuotaReturn{QuotaQueryId{reader.getQuotaReturn().getId()}};
    }
    return DispatchNotice{EndpointId{std::string(reader.getEndpoint().cStr())},
                          TokenCount{reader.getPromptTokens()},
                          reader.getInFlight(),
                          reader.getRejected(),
                          readTokens(reader.getInFlightTokens())};
}

} // namespace

std::string_view kindOf(const PeerDatagram &message)
{
    return std::visit(Overloaded{
                          [](const DispatchNotice &) { return "dispatch_notice"; },
                          [](const StreamOriginMessage &) { return "stream_origin"; },
                          [](const CrashSuspectNotice &) { return "crash_suspects"; },
                          [](const RateLimitNotice &) { return "rate_limit"; },
                          [](const ForwardingMessage &) { return "forwarding"; },
                          [](const LoadQuery &) { return "load_query"; },
                          [](const LoadReport &) { return "load_report"; },
                          [](const QuotaQuery &) { return "quota_query"; },
                          [](const QuotaReply &) { return "quota_reply"; },
                          [](const QuotaReturn &) { return "quota_return"; },
                      },
                      message);
}

std::string encode(const PeerDatagram &message)
{
    capnp::MallocMessageBuilder builder;
    std::visit([&builder](const auto &typed) { write(builder.initRoot<Wire::PeerDatagram>(), typed); }, message);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

PeerDatagram decodePeerDatagram(std::string_view datagram)
{
    // Cap'n Proto requires word alignment, which the datagram buffer does not guarantee.
    kj::Array<capnp::word> words = kj::heapArray<capnp::word>(datagram.size() / sizeof(capnp::word));
    if (words.size() == 0 || datagram.size() % sizeof(capnp::word) != 0) {
        throw DecodeError("datagram is empty or not a whole number of words");
    }
    std::memcpy(words.begin(), datagram.data(), datagram.size());
    PeerDatagram message;
    const auto problem = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader(words);
        message = read(reader.getRoot<Wire::PeerDatagram>());
    });
    if (problem != nullptr) {
        throw DecodeError("datagram is malformed");
    }
    return message;
}

PeerDatagrams::PeerDatagrams(
    boost::asio::io_context &loop, TimerService &timers, const Address &listen, Bandwidth limit, Metrics &metrics, Received received)
    : m_loop(loop)
    , m_timers(timers)
    , m_socket(loop)
    , m_listen(listen)
    , m_metrics(metrics)
    , m_received(std::move(received))
    , m_broadcasts(limit)
{
    try {
        const udp::endpoint local(boost::asio::ip::make_address(listen.host), listen.port);
        m_socket.open(local.protocol());
        m_socket.bind(local);
        m_socket.non_blocking(true);
    } catch (const boost::system::system_error &error) {
        throw EnvironmentError("cannot receive datagrams on " + listen.text() + ": " + error.code().message());
    }
    receive();
}

std::optional<udp::endpoint> PeerDatagrams::endpointOf(const VmId &node) const
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(node.value, error);
    return error ? std::nullopt : std::optional(udp::endpoint(ip, m_listen.port));
}

void PeerDatagrams::setNodes(const std::vector<VmId> &nodes)
{
    m_nodes.clear();
    for (const VmId &node : nodes) {
        const auto endpoint = endpointOf(node);
        if (endpoint && node.value != m_listen.host) {
            m_nodes.push_back(*endpoint);
        }
    }
}

void PeerDatagrams::sendToAll(const PeerDatagram &message)
{
    broadcast({kindOf(message), encode(message), m_nodes});
}

void PeerDatagrams::send(const std::vector<VmId> &nodes, const PeerDatagram &message)
{
    Broadcast addressed{kindOf(message), encode(message), {}};
    for (const VmId &node : nodes) {
        if (const auto endpoint = endpointOf(node)) {
            addressed.nodes.push_back(*endpoint);
        }
    }
    broadcast(std::move(addressed));
}

void PeerDatagrams::broadcast(Broadcast message)
{
    if (message.nodes.size() <= ImmediateReceivers) {
        for (const udp::endpoint &node : message.nodes) {
            send(message.kind, message.datagram, node);
        }
        return;
    }
    if (!m_broadcasts.add(std::move(message))) {
        m_metrics.countEvent("broadcast_dropped");
        return;
    }
    if (!m_broadcastScheduled) {
        sendPending();
    }
}

void PeerDatagrams::sendPending()
{
    for (const OutgoingDatagram &due : m_broadcasts.take(currentTime())) {
        send(due.kind, due.datagram, due.node);
    }
    m_broadcastScheduled = m_broadcasts.hasPending();
    if (m_broadcastScheduled) {
        m_timers.after(BroadcastPeriod, m_loop, [this] { sendPending(); });
    }
}

void PeerDatagrams::send(const VmId &node, const PeerDatagram &message)
{
    if (const auto endpoint = endpointOf(node)) {
        send(kindOf(message), encode(message), *endpoint);
    }
}

void PeerDatagrams::sendToNext(const PeerDatagram &message)
{
    if (!m_nodes.empty()) {
        m_next = (m_next + 1) % m_nodes.size();
        send(kindOf(message), encode(message), m_nodes[m_next]);
    }
}

void PeerDatagrams::send(std::string_view kind, const std::string &datagram, const udp::endpoint &node)
{
    ++m_sent[kind];
    boost::system::error_code error;
    m_socket.send_to(boost::asio::buffer(datagram), node, 0, error);
    if (error) {
        m_metrics.countEvent("datagram_unsent");
    }
}

void PeerDatagrams::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender, [this](boost::system::error_code error, std::size_t bytes) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            try {
                const PeerDatagram message = decodePeerDatagram({m_buffer.data(), bytes});
                ++m_receivedCounts[kindOf(message)];
                m_received(VmId{m_sender.address().to_string()}, message);
            } catch (const DecodeError &) {
                m_metrics.countEvent("datagram_unreadable");
            }
        }
        receive();
    });
}

} // namespace Hemlockhill
