#pragma once

#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/core/result.h"
#include "include/platform/table_service.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace wagtailhatch {

/// An operator's statement that an instance no longer runs: the table row `gone/<id>`. It ends every
/// incarnation up to the recorded one, so an instance that comes back later is not affected.
struct gone_instance {
    std::string id;
    std::uint64_t incarnation = 0;
    std::string author;
};

constexpr const char* gone_instance_prefix = "gone/";

std::string encode_gone_instance(const gone_instance& gone);

/// Error: errc::malformed.
result<gone_instance> parse_gone_instance(const std::string& text);

/// Reads all statements now and then. Operators make them after both members of a pair were lost, so minutes
/// do not matter; 13,000 nodes reading every two minutes are 108 reads a second. One thread.
class gone_instance_reader {
public:
    using found = std::function<void(const gone_instance&)>;

    gone_instance_reader(table_service& table, const clock& time, random_source& random, found on_found);
    ~gone_instance_reader();
    gone_instance_reader(const gone_instance_reader&) = delete;
    gone_instance_reader& operator=(const gone_instance_reader&) = delete;

    /// Reads if it is due. Call at any interval below a second.
    void tick();

private:
    table_service& table_;
    const clock& clock_;
    random_source& random_;
    found on_found_;
    steady_time next_;
    bool reading_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< Late table answers find it expired.
};

} // namespace wagtailhatch
