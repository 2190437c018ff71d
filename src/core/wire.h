#pragma once

#include "src/core/bounded_archive.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace wagtailhatch {

/// Builds a message field by field with cereal.
class wire_writer {
public:
    /// prefix is put in front of the message unchanged.
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

    /// At most 255 bytes; longer text is cut.
    wire_writer& text(std::string_view value)
    {
        const auto length = static_cast<std::uint8_t>(std::min<std::size_t>(value.size(), 255));
        return number(length).tail(value.substr(0, length));
    }

    wire_writer& str(std::string_view value)
    {
        return u32(static_cast<std::uint32_t>(value.size())).tail(value);
    }

    /// Bytes without a length; the reader takes them with tail().
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

/// Reads what wire_writer wrote. Every length is compared with the bytes at hand before anything is
/// allocated. After a shortfall ok() is false and every field reads as zero or empty.
class wire_reader {
public:
    /// The bytes must outlive the reader. An empty message is a shortfall.
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
        if (reserve(sizeof(T))) {
            archive_(value);
        }
        return value;
    }
    std::uint8_t u8() { return number<std::uint8_t>(); }
    std::uint32_t u32() { return number<std::uint32_t>(); }
    std::uint64_t u64() { return number<std::uint64_t>(); }
    std::int64_t i64() { return number<std::int64_t>(); }
    double f64() { return number<double>(); }

    std::string text() { return bytes(number<std::uint8_t>()); }
    std::string str() { return bytes(u32()); }

    /// All bytes that are left.
    std::string tail() { return bytes(left()); }

    bool ok() const { return ok_; }
    std::size_t left() const { return archive_.remaining(); }

    /// All bytes were read without a shortfall.
    bool complete() const { return ok_ && left() == 0; }

private:
    bool reserve(std::size_t size)
    {
        ok_ = ok_ && size <= left();
        return ok_;
    }

    std::string bytes(std::size_t size)
    {
        std::string value;
        if (reserve(size)) {
            value.resize(size);
            archive_(cereal::binary_data(value.data(), value.size()));
        }
        return value;
    }

    bool ok_;
    bounded_input_archive archive_;
};

} // namespace wagtailhatch
