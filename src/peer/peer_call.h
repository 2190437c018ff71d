#pragma once

#include "include/call/service_call.h"
#include "src/peer/peer_link.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace wagtailhatch {

/// Returns the sink of a call that the peer made on this stream: it sends the answer back over the link.
std::shared_ptr<reply_sink> make_incoming_sink(std::weak_ptr<peer_link> link, stream_id stream);

/// Returns the handle of a call that this side made on this stream.
std::shared_ptr<call_handle> make_outgoing_call(std::weak_ptr<peer_link> link, stream_id stream);

/// Decodes the payload of a window frame: the number of bytes of the answer that were passed on to the
/// caller.
std::size_t decode_window(std::string_view payload);

} // namespace wagtailhatch
