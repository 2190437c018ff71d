#include "include/observe/logging.h"
#include "src/peer/peer_call.h"
#include "src/peer/peer_mesh.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {

void peer_mesh::on_frame(peer_link& link, frame_type type, stream_id stream, std::string_view payload)
{
    switch (type) {
    case frame_type::hello:
        on_hello(link, payload);
        return;
    case frame_type::status:
        on_status(link, payload);
        return;
    case frame_type::call:
        on_call(link, stream, payload);
        return;
    case frame_type::cancel:
        on_cancel(link, stream);
        return;
    case frame_type::window:
        if (const auto found = link.incoming.find(stream); found != link.incoming.end()) {
            found->second->consumed(decode_window(payload));
        }
        return;
    case frame_type::config_request:
        if (auto config = events_.newest_config(); config.version > 0) {
            link.send_frame(frame_type::config, 0, encode(config));
        }
        return;
    case frame_type::config:
        if (auto config = decode_config(payload)) {
            events_.on_peer_config(std::move(*config));
        }
        return;
    case frame_type::crash:
        if (const auto report = decode_crash(payload)) {
            events_.on_peer_crash(*report);
        }
        return;
    case frame_type::store_contact:
        if (!link.peer.empty()) {
            events_.on_peer_store_contact(link.peer);
        }
        return;
    case frame_type::rate_request:
        if (const auto request = decode_rate_request(payload)) {
            link.send_frame(frame_type::rate_grant, 0, encode(events_.on_peer_rate_request(*request)));
        }
        return;
    case frame_type::rate_grant:
        if (const auto grant = decode_rate_grant(payload)) {
            events_.on_peer_rate_grant(*grant);
        }
        return;
    case frame_type::store_eras:
        if (const auto eras = decode_store_eras(payload)) {
            link.eras_received = *eras;
            events_.on_peer_store_era(eras->newest);
        }
        return;
    case frame_type::reply:
    case frame_type::reply_head:
    case frame_type::reply_data:
    case frame_type::reply_end:
    case frame_type::failure:
        on_answer(link, type, stream, payload);
        return;
    }
    log(log_level::warning, "unknown peer frame", {{"peer", link.peer}, {"type", static_cast<int>(type)}});
}

void peer_mesh::on_hello(peer_link& link, std::string_view payload)
{
    auto hello = decode_hello(payload);
    if (!hello || hello->status.self.address == self_) {
        log(log_level::warning, "peer hello not usable", {{"peer", link.peer}});
        link.end();
        return;
    }
    const bool first = link.peer.empty() || links_.count(link.peer) == 0;
    link.peer = hello->status.self.address;
    if (!link.dialled()) {
        send_hello(link);
    }
    auto& c = contacts_[link.peer];
    c.backoff = {};
    choose_link(std::static_pointer_cast<peer_link>(link.shared_from_this()));
    if (first) {
        log(log_level::info, "peer found", {{"peer", link.peer}, {"service", hello->status.self.service}});
    }
    pass_status(link, hello->status);
    events_.on_peers_discovered(hello->known);
}

void peer_mesh::on_status(peer_link& link, std::string_view payload)
{
    auto status = decode_status(payload);
    if (!status || status->self.address != link.peer) {
        return; // A status may arrive before the hello of its link.
    }
    pass_status(link, *status);
}

void peer_mesh::pass_status(const peer_link& link, node_status& status)
{
    if (status.evacuation) {
        status.evacuation->era = link.eras_received.evacuation;
    }
    events_.on_peer_status(status);
}

void peer_mesh::on_call(peer_link& link, stream_id stream, std::string_view payload)
{
    auto call = decode_call(payload, time_.now());
    if (!call) {
        log(log_level::warning, "peer call malformed", {{"peer", link.peer}});
        const auto keep = std::static_pointer_cast<peer_link>(link.shared_from_this());
        make_incoming_sink(keep, stream)->on_failure({refusal_reason::malformed, false, false, {}, {}}, {});
        return;
    }
    if (auto memory = link.take_frame_memory()) {
        call->body_memory = std::make_shared<memory_reservation>(std::move(*memory));
    }
    link.unstarted.push_back({stream, std::move(*call)});
}

void peer_mesh::on_call_skipped(peer_link& link, stream_id stream)
{
    log(log_level::warning, "peer call refused for lack of memory",
        {{"peer", link.peer}, {"reserved", body_memory_.large.used()}});
    const auto keep = std::static_pointer_cast<peer_link>(link.shared_from_this());
    make_incoming_sink(keep, stream)
        ->on_failure({refusal_reason::overload, false, false, {}, {}}, events_.own_status().load);
}

void peer_mesh::on_frames_end(peer_link& link)
{
    const auto keep = std::static_pointer_cast<peer_link>(link.shared_from_this());
    auto calls = std::exchange(link.unstarted, {});
    for (auto& [stream, call] : calls) {
        link.incoming.emplace(stream,
                              events_.on_peer_call(std::move(call), make_incoming_sink(keep, stream)));
    }
}

void peer_mesh::on_cancel(peer_link& link, stream_id stream)
{
    const auto unstarted = std::find_if(link.unstarted.begin(), link.unstarted.end(),
                                        [&](const unstarted_call& c) { return c.stream == stream; });
    if (unstarted != link.unstarted.end()) {
        log_unstarted(*unstarted);
        link.unstarted.erase(unstarted);
        return;
    }
    if (const auto found = link.incoming.find(stream); found != link.incoming.end()) {
        const auto handle = found->second;
        link.incoming.erase(found);
        handle->cancel();
    }
}

void peer_mesh::on_answer(peer_link& link, frame_type type, stream_id stream, std::string_view payload)
{
    const auto found = link.calls.find(stream);
    if (found == link.calls.end()) {
        return; // The call has been cancelled.
    }
    const auto sink = found->second.sink;
    if (type == frame_type::reply_data) {
        sink->on_reply_data(std::string{payload});
        return;
    }
    if (type == frame_type::reply_head) {
        if (auto head = decode_reply(payload)) {
            sink->on_reply_head(std::move(head->response), head->length, head->load);
            return;
        }
    }
    link.calls.erase(found);
    if (type == frame_type::reply_end) {
        sink->on_reply_end();
        return;
    }
    if (type == frame_type::reply) {
        if (auto reply = decode_reply(payload)) {
            sink->on_reply(std::move(reply->response), reply->load);
            return;
        }
    }
    if (type == frame_type::failure) {
        if (const auto failure = decode_failure(payload)) {
            sink->on_failure(failure->failure, failure->load);
            return;
        }
    }
    log(log_level::warning, "peer answer malformed", {{"peer", link.peer}});
    sink->on_failure({refusal_reason::malformed, true, true, {}, {}}, {});
}

} // namespace wagtailhatch
