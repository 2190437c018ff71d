#include "src/node/handle_table.h"

#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace wagtailhatch {
namespace {

std::string random_handle()
{
    std::array<unsigned char, 16> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("the system's random generator failed");
    }
    constexpr std::array digits{'0', '1', '2', '3', '4', '5', '6', '7',
                                '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
    std::string text;
    text.reserve(2 * bytes.size());
    for (const auto byte : bytes) {
        text.push_back(digits.at(byte >> 4U));
        text.push_back(digits.at(byte & 15U));
    }
    return text;
}

} // namespace

std::string handle_table::insert(std::shared_ptr<active_call> call)
{
    auto handle = random_handle();
    calls_.emplace(handle, std::move(call));
    return handle;
}

std::shared_ptr<active_call> handle_table::find(const std::string& handle) const
{
    const auto found = calls_.find(handle);
    return found == calls_.end() ? nullptr : found->second;
}

void handle_table::erase(const std::string& handle)
{
    calls_.erase(handle);
}

} // namespace wagtailhatch
