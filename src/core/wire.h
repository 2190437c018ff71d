#pragma once

#include "src/core/bounded_archive.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace wagtailhatch {

/// Serializes a binary message field by field with cereal; numbers are little-endian.
class wire_writer {
public:
    /// prefix: bytes written unchanged before the message.
    explicit wire_writer(std::string_view prefix = {})
        : out_{prefix}
    {
    }
    ~wire_writer() = default;
    wire_writer(const wire_writer&) = delete;
    wire_writer& operator=(const wire_writer&) = delete;

    template <typename T>
    wire_writer& number(T value)
    {
        archive_(value);
        return *this;
    }
    wire_writer& u8(std::uint8_t v) { return number(v); }
    wire_writer& u32(std::uint32_t v) { return number(v); }
    wire_writer& u64(std::uint64_t v) { return number(v); }
    wire_writer& i64(std::int64_t v) { return number(v); }
    wire_writer& f64(double v) { return number(v); }

    /// Writes a string with an 8-bit length; text beyond 255 bytes is truncated.
    wire_writer& text(std::string_view value)
    {
        const auto length = static_cast<std::uint8_t>(std::min<std::size_t>(value.size(), 255));
        return number(length).tail(value.substr(0, length));
    }

    /// Writes a string with a 32-bit length.
    wire_writer& str(std::string_view value)
    {
        return u32(static_cast<std::uint32_t>(value.size())).tail(value);
    }

    /// Writes bytes without a length, as the last field; the reader's tail() returns them.
    wire_writer& tail(std::string_view value)
    {
        archive_(cereal::binary_data(value.data(), value.size()));
        return *this;
    }

    std::string take() { return std::move(out_); }

private:
    std::string out_;
    bounded_output_archive archive_{out_};
};

/// Deserializes messages of wire_writer; safe for untrusted input. Every length is checked against the
/// remaining bytes before anything is allocated. After a read beyond the end, ok() is false and every field
/// reads as zero or empty.
class wire_reader {
public:
    /// The bytes must outlive the reader. For an empty message ok() is false from the start.
    explicit wire_reader(std::string_view bytes)
        : ok_{!bytes.empty()}
        , archive_{bytes}
    {
    }
    ~wire_reader() = default;
    wire_reader(const wire_reader&) = delete;
    wire_reader& operator=(const wire_reader&) = delete;

    template <typename T>
    T number()
    {
        T value{};
        if (require_bytes(sizeof(T))) {
            archive_(value);
        }
        return value;
    }
    std::uint8_t u8() { return number<std::uint8_t>(); }
    std::uint32_t u32() { return number<std::uint32_t>(); }
    std::uint64_t u64() { return number<std::uint64_t>(); }
    std::int64_t i64() { return number<std::int64_t>(); }
    double f64() { return number<double>(); }

    /// Reads a string with an 8-bit length, as written by wire_writer::text().
    std::string text() { return bytes(number<std::uint8_t>()); }
    /// Reads a string with a 32-bit length, as written by wire_writer::str().
    std::string str() { return bytes(u32()); }

    /// All remaining bytes.
    std::string tail() { return bytes(bytes_left()); }

    bool ok() const { return ok_; }
    std::size_t bytes_left() const { return archive_.remaining(); }

    /// Whether the message was read to its exact end.
    bool complete() const { return ok_ && bytes_left() == 0; }

private:
    bool require_bytes(std::size_t size)
    {
        ok_ = ok_ && size <= bytes_left();
        return ok_;
    }

    std::string bytes(std::size_t size)
    {
        std::string value;
        if (require_bytes(size)) {
            value.resize(size);
            archive_(cereal::binary_data(value.data(), value.size()));
        }
        return value;
    }

    bool ok_;
    bounded_input_archive archive_;
};

} // namespace wagtailhatch
