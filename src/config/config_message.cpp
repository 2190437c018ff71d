#include "src/config/config_message.h"

#include <cereal/archives/portable_binary.hpp>

#include <cstdint>
#include <istream>
#include <limits>
#include <sstream>
#include <streambuf>

namespace wagtailhatch {
namespace {

using std::chrono::milliseconds;

constexpr std::uint8_t format_version = 1;
constexpr std::uint32_t max_list = 100'000;
constexpr std::uint64_t no_age = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t max_age = std::uint64_t{1} << 40; ///< Milliseconds; larger ones are malformed.

class bytes_buffer final : public std::streambuf {
public:
    explicit bytes_buffer(std::string_view bytes)
    {
        // A get area is declared as writable by the standard library but is only read here.
        auto* begin = const_cast<char*>(bytes.data()); // NOLINT(cppcoreguidelines-pro-type-const-cast)
        setg(begin, begin, begin + bytes.size());
    }
    std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

/// Fields in the order of the message. The same visit functions write and read.
class writer {
public:
    template <typename T>
    void number(const T& value)
    {
        archive_(value);
    }
    void text(const std::string& value)
    {
        number(static_cast<std::uint32_t>(value.size()));
        archive_(cereal::binary_data(value.data(), value.size()));
    }
    template <typename T, typename Visit>
    void list(const std::vector<T>& values, Visit visit)
    {
        number(static_cast<std::uint32_t>(values.size()));
        for (const auto& value : values) {
            visit(value);
        }
    }
    template <typename T, typename Visit>
    void map(const std::map<std::string, T>& values, Visit visit)
    {
        number(static_cast<std::uint32_t>(values.size()));
        for (const auto& [name, value] : values) {
            text(name);
            visit(value);
        }
    }
    void age(const std::optional<milliseconds>& value)
    {
        number(value ? static_cast<std::uint64_t>(value->count()) : no_age);
    }
    template <typename T, typename Visit>
    void maybe(const std::optional<T>& value, Visit visit)
    {
        number(static_cast<std::uint8_t>(value ? 1 : 0));
        if (value) {
            visit(*value);
        }
    }
    std::string take() { return std::move(out_).str(); }

private:
    std::ostringstream out_;
    cereal::PortableBinaryOutputArchive archive_{out_};
};

class reader {
public:
    explicit reader(std::string_view bytes)
        : buffer_{bytes}
    {
    }

    template <typename T>
    void number(T& value)
    {
        archive_(value);
    }
    void text(std::string& value)
    {
        value.resize(count(std::numeric_limits<std::uint32_t>::max()));
        archive_(cereal::binary_data(value.data(), value.size()));
    }
    template <typename T, typename Visit>
    void list(std::vector<T>& values, Visit visit)
    {
        // Elements are added one by one, so that memory follows the bytes that were really sent.
        for (auto left = count(max_list); left > 0; --left) {
            visit(values.emplace_back());
        }
    }
    template <typename T, typename Visit>
    void map(std::map<std::string, T>& values, Visit visit)
    {
        for (auto left = count(max_list); left > 0; --left) {
            std::string name;
            text(name);
            visit(values[name]);
        }
    }
    void age(std::optional<milliseconds>& value)
    {
        std::uint64_t number_of_ms = 0;
        number(number_of_ms);
        if (number_of_ms != no_age) {
            require(number_of_ms <= max_age);
            value = milliseconds{number_of_ms};
        }
    }
    template <typename T, typename Visit>
    void maybe(std::optional<T>& value, Visit visit)
    {
        std::uint8_t present = 0;
        number(present);
        require(present <= 1);
        if (present == 1) {
            visit(value.emplace());
        }
    }
    void require(bool condition) const
    {
        if (!condition) {
            throw cereal::Exception{"malformed"};
        }
    }
    bool at_end() const { return buffer_.remaining() == 0; }

private:
    /// A length or count; each unit takes at least one byte.
    std::uint32_t count(std::uint32_t most)
    {
        std::uint32_t value = 0;
        number(value);
        require(value <= most && value <= buffer_.remaining());
        return value;
    }

    bytes_buffer buffer_;
    std::istream in_{&buffer_};
    cereal::PortableBinaryInputArchive archive_{in_};
};

template <typename Io, typename Peer>
void visit_peer(Io& io, Peer& peer)
{
    io.text(peer.id);
    io.text(peer.data_centre);
    io.text(peer.address);
}

template <typename Io, typename Head>
void visit_head(Io& io, Head& head)
{
    io.number(head.version);
    io.text(head.change);
    io.map(head.documents, [&](auto& document) {
        io.text(document.hash);
        io.number(document.changed);
    });
}

template <typename Io, typename Delta>
void visit_delta(Io& io, Delta& delta)
{
    io.number(delta.from);
    visit_head(io, delta.head);
    io.map(delta.full, [&](auto& text) { io.text(text); });
    io.list(delta.steps, [&](auto& step) {
        io.number(step.to);
        io.list(step.patches, [&](auto& patch) {
            io.text(patch.name);
            io.number(patch.prefix);
            io.number(patch.suffix);
            io.text(patch.middle);
        });
    });
}

template <typename Io, typename Message>
void visit_message(Io& io, Message& message)
{
    visit_peer(io, message.self);
    io.number(message.version);
    io.age(message.platform_age);
    io.list(message.readers, [&](auto& report) {
        io.text(report.id);
        std::optional<milliseconds> alive{report.alive};
        io.age(alive);
        if constexpr (!std::is_const_v<Message>) {
            io.require(alive.has_value());
            report.alive = *alive;
        }
        io.age(report.reached);
    });
    io.list(message.peers, [&](auto& peer) { visit_peer(io, peer); });
    io.maybe(message.delta, [&](auto& delta) { visit_delta(io, delta); });
}

} // namespace

std::string encode(const config_message& message)
{
    writer out;
    out.number(format_version);
    visit_message(out, message);
    return out.take();
}

std::optional<config_message> decode_config_message(std::string_view bytes)
{
    try {
        reader in{bytes};
        std::uint8_t format = 0;
        in.number(format);
        in.require(format == format_version);
        config_message message;
        visit_message(in, message);
        in.require(in.at_end());
        return message;
    }
    catch (const cereal::Exception&) {
        return std::nullopt;
    }
}

} // namespace wagtailhatch
