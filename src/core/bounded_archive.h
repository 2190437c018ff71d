#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace wagtailhatch {

static_assert(std::endian::native == std::endian::little, "archives write the native byte order");

/// cereal output archive that appends to a string, without iostreams.
class bounded_output_archive
    : public cereal::OutputArchive<bounded_output_archive, cereal::AllowEmptyClassElision> {
public:
    explicit bounded_output_archive(std::string& out)
        : OutputArchive{this}
        , out_{out}
    {
    }
    void save(const void* data, std::size_t size) { out_.append(static_cast<const char*>(data), size); }

private:
    std::string& out_;
};

/// cereal input archive over a byte buffer, safe for untrusted input. A length that exceeds the remaining
/// bytes throws cereal::Exception before anything is allocated: cereal's own archives allocate whatever
/// length the message claims.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
public:
    explicit bounded_input_archive(std::string_view in)
        : InputArchive{this}
        , in_{in}
    {
    }

    void load(void* data, std::size_t size)
    {
        if (size > in_.size()) {
            throw cereal::Exception("message is too short");
        }
        if (size > 0) {
            std::memcpy(data, in_.data(), size);
        }
        in_.remove_prefix(size);
    }

    std::size_t remaining() const { return in_.size(); }

private:
    std::string_view in_;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(bounded_output_archive& ar, const T& value)
{
    ar.save(&value, sizeof value);
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& ar, T& value)
{
    ar.load(&value, sizeof value);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(bounded_output_archive& ar, const cereal::SizeTag<T>& tag)
{
    const auto size = static_cast<std::uint32_t>(tag.size);
    ar.save(&size, sizeof size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& ar, cereal::SizeTag<T>& tag)
{
    std::uint32_t size = 0;
    ar.load(&size, sizeof size);
    // Every element occupies at least one byte, so a larger count cannot be valid.
    if (size > ar.remaining()) {
        throw cereal::Exception("length exceeds the message");
    }
    tag.size = size;
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(bounded_output_archive& ar, const cereal::BinaryData<T>& data)
{
    ar.save(data.data, data.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& ar, cereal::BinaryData<T>& data)
{
    ar.load(data.data, data.size);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_output_archive& ar, cereal::NameValuePair<T>& pair)
{
    ar(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive& ar, cereal::NameValuePair<T>& pair)
{
    ar(pair.value);
}

} // namespace wagtailhatch

CEREAL_REGISTER_ARCHIVE(wagtailhatch::bounded_output_archive)
CEREAL_REGISTER_ARCHIVE(wagtailhatch::bounded_input_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(wagtailhatch::bounded_input_archive, wagtailhatch::bounded_output_archive)
