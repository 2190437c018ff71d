#include "src/node/quarantine_message.h"

#include "src/core/bounded_archive.h"

namespace wagtailhatch {

std::string encode(const quarantine_message& message)
{
    std::string out;
    bounded_output_archive ar{out};
    ar(static_cast<std::uint8_t>(message.what), message.report.death_id, message.report.fingerprints);
    return out;
}

result<quarantine_message> decode_quarantine_message(const std::string& bytes)
{
    try {
        quarantine_message message;
        std::uint8_t kind = 0;
        bounded_input_archive ar{bytes};
        ar(kind, message.report.death_id, message.report.fingerprints);
        if (kind > 1 || ar.remaining() != 0) {
            return make_error(errc::malformed, "group message");
        }
        message.what = static_cast<quarantine_message::kind>(kind);
        return message;
    }
    catch (const cereal::Exception& e) {
        return make_error(errc::malformed, std::string{"group message: "} + e.what());
    }
}

} // namespace wagtailhatch
