#pragma once

#include "include/ownership/slot_service.h"
#include "src/node/call_message.h"

namespace wagtailhatch {

/// What the runner of an order reports to its home; the whole reply is kept as the answer.
run_once_result encode_order_result(const call_reply& reply);

/// The reply that an order's result stands for.
call_reply decode_order_result(const run_once_result& result);

} // namespace wagtailhatch
