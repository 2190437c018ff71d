#include "src/peer/datagram.h"

#include "src/core/wire.h"
#include "src/peer/endpoint.h"

namespace wagtailhatch {

std::string encode_datagram(const datagram& d, const peer_address& to, const proof& key)
{
    wire_writer writer;
    writer.number(d.incarnation);
    writer.number(d.sequence);
    writer.text(d.from);
    writer.tail(d.payload);
    std::string bytes = writer.take();
    bytes += as_view(make_proof(as_view(key), to, bytes));
    return bytes;
}

std::optional<datagram> decode_datagram(std::string_view bytes, const peer_address& to, const proof& key)
{
    if (bytes.size() < proof_size) {
        return std::nullopt;
    }
    const auto body = bytes.substr(0, bytes.size() - proof_size);
    if (!equal_proof(bytes.substr(body.size()), as_view(make_proof(as_view(key), to, body)))) {
        return std::nullopt;
    }
    wire_reader reader{body};
    datagram d;
    d.incarnation = reader.number<std::uint64_t>();
    d.sequence = reader.number<std::uint64_t>();
    d.from = reader.text();
    d.payload = reader.tail();
    if (!reader.complete() || !parse_peer_address(d.from)) {
        return std::nullopt;
    }
    return d;
}

} // namespace wagtailhatch
