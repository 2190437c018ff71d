#include "src/node/order_codec.h"

#include <utility>

namespace wagtailhatch {

run_once_result encode_order_result(const call_reply& reply)
{
    run_once_result r;
    r.what = reply.result;
    r.reason = reply.reason;
    if (reply.result == outcome::answered) {
        r.answer = encode(reply);
    }
    return r;
}

call_reply decode_order_result(const run_once_result& r)
{
    call_reply reply;
    reply.result = r.what;
    reply.reason = r.reason;
    if (r.what == outcome::answered && r.already_run) {
        reply.reason = refusal_reason::already_run;
    }
    else if (r.what == outcome::answered) {
        auto decoded = decode_call_reply(r.answer);
        if (!decoded) {
            reply.result = outcome::unknown;
            reply.reason = refusal_reason::outcome_unknown;
            return reply;
        }
        reply = std::move(*decoded);
        reply.reason = r.reason;
    }
    return reply;
}

} // namespace wagtailhatch
