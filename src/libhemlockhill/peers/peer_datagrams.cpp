// UDP transport of dispatch notices.
#include "hemlockhill/dispatch_notices.h"

#include "hemlockhill/failure.h"
#include "peer.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <utility>

namespace Hemlockhill
{

namespace
{

using boost::asio::ip::udp;

} // namespace

std::string encode(const DispatchNotice &notice)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<Wire::DispatchNotice>();
    builder.setEndpoint(notice.endpoint.value);
    builder.setPromptTokens(notice.prompt.value);
    builder.setInFlight(notice.inFlight);
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

DispatchNotice decodeDispatchNotice(std::string_view datagram)
{
    // Cap'n Proto requires word alignment, which the datagram buffer does not guarantee.
    kj::Array<capnp::word> words = kj::heapArray<capnp::word>(datagram.size() / sizeof(capnp::word));
    if (words.size() == 0 || datagram.size() % sizeof(capnp::word) != 0) {
        throw DecodeError("dispatch notice datagram is empty or not a whole number of words");
    }
    std::memcpy(words.begin(), datagram.data(), datagram.size());
    DispatchNotice notice;
    const auto problem = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader message(words);
        const auto reader = message.getRoot<Wire::DispatchNotice>();
        notice.endpoint = EndpointId{std::string(reader.getEndpoint().cStr())};
        notice.prompt = TokenCount{reader.getPromptTokens()};
        notice.inFlight = reader.getInFlight();
    });
    if (problem != nullptr) {
        throw DecodeError("dispatch notice datagram is malformed");
    }
    return notice;
}

DispatchNotices::DispatchNotices(boost::asio::io_context &loop, const Address &listen, Metrics &metrics, Received received)
    : m_socket(loop)
    , m_listen(listen)
    , m_metrics(metrics)
    , m_received(std::move(received))
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

void DispatchNotices::setNodes(const std::vector<VmId> &nodes)
{
    m_nodes.clear();
    for (const VmId &node : nodes) {
        boost::system::error_code error;
        const auto ip = boost::asio::ip::make_address(node.value, error);
        if (!error && node.value != m_listen.host) {
            m_nodes.emplace_back(ip, m_listen.port);
        }
    }
}

void DispatchNotices::send(const DispatchNotice &notice)
{
    const std::string datagram = encode(notice);
    for (const udp::endpoint &node : m_nodes) {
        boost::system::error_code error;
        m_socket.send_to(boost::asio::buffer(datagram), node, 0, error);
        if (error) {
            m_metrics.countEvent("dispatch_notice_unsent");
        }
    }
}

void DispatchNotices::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender, [this](boost::system::error_code error, std::size_t bytes) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            try {
                m_received(VmId{m_sender.address().to_string()}, decodeDispatchNotice({m_buffer.data(), bytes}));
            } catch (const DecodeError &) {
                m_metrics.countEvent("dispatch_notice_unreadable");
            }
        }
        receive();
    });
}

} // namespace Hemlockhill
