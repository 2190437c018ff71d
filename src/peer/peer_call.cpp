#include "src/peer/peer_call.h"

#include "include/peer/peer_messages.h"

#include <array>
#include <cstdint>
#include <utility>

namespace wagtailhatch {
namespace {

/// Sends the answer to a peer's call back over its link.
class incoming_sink final : public reply_sink {
public:
    incoming_sink(std::weak_ptr<peer_link> link, stream_id stream)
        : link_{std::move(link)}
        , stream_{stream}
    {
    }

    void on_reply(http_response response, const load_report& load) override
    {
        const auto length = response.body.size();
        finish(frame_type::reply, encode(response, length, load));
    }
    void on_reply_head(http_response head, std::optional<std::uint64_t> length,
                       const load_report& load) override
    {
        if (const auto link = link_.lock()) {
            link->send_frame(frame_type::reply_head, stream_, encode(head, length, load));
        }
    }
    void on_reply_data(std::string bytes) override
    {
        if (const auto link = link_.lock()) {
            link->send_frame(frame_type::reply_data, stream_, bytes);
        }
    }
    void on_reply_end() override { finish(frame_type::reply_end, {}); }
    void on_failure(const call_failure& failure, const load_report& load) override
    {
        finish(frame_type::failure, encode(failure, load));
    }

private:
    void finish(frame_type type, const std::string& payload)
    {
        if (const auto link = link_.lock()) {
            link->incoming.erase(stream_);
            link->send_frame(type, stream_, payload);
        }
    }

    std::weak_ptr<peer_link> link_;
    stream_id stream_;
};

class outgoing_call final : public call_handle {
public:
    outgoing_call(std::weak_ptr<peer_link> link, stream_id stream)
        : link_{std::move(link)}
        , stream_{stream}
    {
    }

    void cancel() override
    {
        const auto link = link_.lock();
        if (link && link->calls.erase(stream_) > 0) {
            link->send_frame(frame_type::cancel, stream_, {});
        }
    }
    void consumed(std::size_t bytes) override
    {
        const auto link = link_.lock();
        if (link && link->calls.count(stream_) > 0) {
            wire_size size{};
            for (std::size_t i = 0; i < size.size(); ++i) {
                size.at(i) = static_cast<char>(bytes >> (8 * i) & 0xffU);
            }
            link->send_frame(frame_type::window, stream_, {size.data(), size.size()});
        }
    }

    using wire_size = std::array<char, sizeof(std::uint32_t)>;

private:
    std::weak_ptr<peer_link> link_;
    stream_id stream_;
};

} // namespace

std::shared_ptr<reply_sink> make_incoming_sink(std::weak_ptr<peer_link> link, stream_id stream)
{
    return std::make_shared<incoming_sink>(std::move(link), stream);
}

std::shared_ptr<call_handle> make_outgoing_call(std::weak_ptr<peer_link> link, stream_id stream)
{
    return std::make_shared<outgoing_call>(std::move(link), stream);
}

std::size_t decode_window(std::string_view payload)
{
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < payload.size() && i < sizeof(std::uint32_t); ++i) {
        bytes |= static_cast<std::size_t>(static_cast<unsigned char>(payload[i])) << (8 * i);
    }
    return bytes;
}

} // namespace wagtailhatch
