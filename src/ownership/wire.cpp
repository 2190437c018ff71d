#include "src/ownership/wire.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>
#include <streambuf>

// Named apart from the classes of the same name in src/peer, so that the linker keeps both.
namespace wagtailhatch {
inline namespace slot_wire {

namespace {

/// Reads from memory without a copy.
class view_buffer final : public std::streambuf {
public:
    explicit view_buffer(std::string_view bytes)
    {
        // The stream only reads; std::streambuf has no interface for constant memory.
        char* begin = const_cast<char*>(bytes.data()); // NOLINT(cppcoreguidelines-pro-type-const-cast)
        setg(begin, begin, begin + bytes.size());
    }
    std::size_t left() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

} // namespace

struct wire_writer::impl {
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive{stream};
};

wire_writer::wire_writer()
    : impl_{std::make_unique<impl>()}
{
}
wire_writer::~wire_writer() = default;

wire_writer& wire_writer::u8(std::uint8_t v)
{
    impl_->archive(v);
    return *this;
}

wire_writer& wire_writer::u32(std::uint32_t v)
{
    impl_->archive(v);
    return *this;
}

wire_writer& wire_writer::u64(std::uint64_t v)
{
    impl_->archive(v);
    return *this;
}

wire_writer& wire_writer::i64(std::int64_t v)
{
    impl_->archive(v);
    return *this;
}

wire_writer& wire_writer::f64(double v)
{
    impl_->archive(v);
    return *this;
}

wire_writer& wire_writer::str(std::string_view v)
{
    u32(static_cast<std::uint32_t>(v.size()));
    impl_->archive(cereal::binary_data(v.data(), v.size()));
    return *this;
}

std::string wire_writer::take()
{
    return std::move(impl_->stream).str();
}

struct wire_reader::impl {
    explicit impl(std::string_view bytes)
        : buffer{bytes}
    {
    }
    view_buffer buffer;
    std::istream stream{&buffer};
    std::unique_ptr<cereal::PortableBinaryInputArchive> archive;
    bool ok = true;
};

wire_reader::wire_reader(std::string_view bytes)
    : impl_{std::make_unique<impl>(bytes)}
{
    // The archive reads one byte (the byte order) when it is made.
    if (bytes.empty()) {
        impl_->ok = false;
        return;
    }
    impl_->archive = std::make_unique<cereal::PortableBinaryInputArchive>(impl_->stream);
}
wire_reader::~wire_reader() = default;

template <typename T>
T wire_reader::number()
{
    T v{};
    if (!impl_->ok || impl_->buffer.left() < sizeof(T)) {
        impl_->ok = false;
        return v;
    }
    (*impl_->archive)(v);
    return v;
}

std::uint8_t wire_reader::u8()
{
    return number<std::uint8_t>();
}

std::uint32_t wire_reader::u32()
{
    return number<std::uint32_t>();
}

std::uint64_t wire_reader::u64()
{
    return number<std::uint64_t>();
}

std::int64_t wire_reader::i64()
{
    return number<std::int64_t>();
}

double wire_reader::f64()
{
    return number<double>();
}

std::string wire_reader::str()
{
    const std::size_t size = u32();
    std::string v;
    if (!impl_->ok || size > impl_->buffer.left()) {
        impl_->ok = false;
        return v;
    }
    v.resize(size);
    (*impl_->archive)(cereal::binary_data(v.data(), size));
    return v;
}

bool wire_reader::ok() const
{
    return impl_->ok;
}

std::size_t wire_reader::left() const
{
    return impl_->buffer.left();
}

} // namespace slot_wire
} // namespace wagtailhatch
