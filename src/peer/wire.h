#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>
#include <utility>

namespace wagtailhatch {

/// Builds a message in cereal portable binary.
class wire_writer {
public:
    /// prefix is put in front of the message unchanged.
    explicit wire_writer(std::string_view prefix = {})
        : stream_{std::string{prefix}, std::ios::binary | std::ios::ate | std::ios::out}
        , archive_{stream_}
    {
    }

    template <typename T>
    void number(T value)
    {
        archive_(value);
    }

    /// At most 255 bytes; longer text is cut.
    void text(std::string_view value)
    {
        const auto length = static_cast<std::uint8_t>(std::min<std::size_t>(value.size(), 255));
        archive_(length);
        tail(value.substr(0, length));
    }

    /// Bytes without a length; the reader takes them with tail().
    void tail(std::string_view value) { archive_(cereal::binary_data(value.data(), value.size())); }

    std::string take() { return std::move(stream_).str(); }

private:
    std::ostringstream stream_;
    cereal::PortableBinaryOutputArchive archive_;
};

/// Reads a message in cereal portable binary. Every length is checked against the bytes at hand before cereal
/// sees it; after a shortfall ok() is false and all values are empty.
class wire_reader {
public:
    explicit wire_reader(std::string_view bytes)
        : ok_{!bytes.empty()}
        , buffer_{bytes.empty() ? std::string_view{"\1", 1} : bytes}
        , stream_{&buffer_}
        , archive_{stream_}
    {
    }

    template <typename T>
    T number()
    {
        T value{};
        if (reserve(sizeof(T))) {
            archive_(value);
        }
        return value;
    }

    std::string text() { return bytes(number<std::uint8_t>()); }

    /// All bytes that are left.
    std::string tail() { return bytes(buffer_.left()); }

    bool ok() const { return ok_; }

    /// True if the whole message was read without a shortfall.
    bool complete() const { return ok_ && buffer_.left() == 0; }

private:
    class view_buffer final : public std::streambuf {
    public:
        explicit view_buffer(std::string_view bytes)
            : bytes_{bytes}
        {
            setg(bytes_.data(), bytes_.data(), bytes_.data() + bytes_.size());
        }
        std::size_t left() const { return static_cast<std::size_t>(egptr() - gptr()); }

    private:
        std::string bytes_; ///< A copy, because streambuf needs mutable memory.
    };

    bool reserve(std::size_t size)
    {
        ok_ = ok_ && size <= buffer_.left();
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
    view_buffer buffer_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

} // namespace wagtailhatch
