#pragma once

#include "include/ownership/slot_types.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

// Named apart from the classes of the same name in src/peer, so that the linker keeps both.
namespace wagtailhatch {
inline namespace slot_wire {

/// Writes a message body field by field (cereal portable binary).
class wire_writer {
public:
    wire_writer();
    ~wire_writer();
    wire_writer(const wire_writer&) = delete;
    wire_writer& operator=(const wire_writer&) = delete;

    wire_writer& u8(std::uint8_t v);
    wire_writer& u32(std::uint32_t v);
    wire_writer& u64(std::uint64_t v);
    wire_writer& i64(std::int64_t v);
    wire_writer& f64(double v);
    wire_writer& str(std::string_view v);
    std::string take();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Reads what wire_writer wrote. A length is compared with the bytes at hand before anything is allocated.
/// After an error every field reads as zero or empty, and ok() is false.
class wire_reader {
public:
    explicit wire_reader(std::string_view bytes);
    ~wire_reader();
    wire_reader(const wire_reader&) = delete;
    wire_reader& operator=(const wire_reader&) = delete;

    std::uint8_t u8();
    std::uint32_t u32();
    std::uint64_t u64();
    std::int64_t i64();
    double f64();
    std::string str();
    bool ok() const;
    std::size_t left() const;
    /// All bytes were read without an error.
    bool finished() const { return ok() && left() == 0; }

private:
    struct impl;
    template <typename T>
    T number();
    std::unique_ptr<impl> impl_;
};

} // namespace slot_wire
} // namespace wagtailhatch
