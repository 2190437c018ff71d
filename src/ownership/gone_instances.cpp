#include "include/ownership/gone_instances.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace wagtailhatch {
namespace {

constexpr std::chrono::seconds first_read{10};
constexpr std::chrono::seconds read_interval{120};

duration jittered(duration d, random_source& random)
{
    return d / 2 + std::chrono::duration_cast<duration>(random.unit() * d);
}

} // namespace

std::string encode_gone_instance(const gone_instance& gone)
{
    return nlohmann::json{{"instance", gone.id}, {"incarnation", gone.incarnation}, {"author", gone.author}}
        .dump();
}

result<gone_instance> parse_gone_instance(const std::string& text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("instance") || !json["instance"].is_string() ||
        !json.contains("incarnation") || !json["incarnation"].is_number_unsigned()) {
        return make_error(errc::malformed, "row of a gone instance");
    }
    gone_instance gone;
    gone.id = json["instance"].get<std::string>();
    gone.incarnation = json["incarnation"].get<std::uint64_t>();
    if (json.contains("author") && json["author"].is_string()) {
        gone.author = json["author"].get<std::string>();
    }
    return gone;
}

gone_instance_reader::gone_instance_reader(table_service& table, const clock& time, random_source& random,
                                           found on_found)
    : table_{table}
    , clock_{time}
    , random_{random}
    , on_found_{std::move(on_found)}
    , next_{time.now() + jittered(first_read, random)}
{
}

gone_instance_reader::~gone_instance_reader() = default;

void gone_instance_reader::tick()
{
    const auto now = clock_.now();
    if (reading_ || now < next_) {
        return;
    }
    reading_ = true;
    next_ = now + jittered(read_interval, random_);
    table_.list(gone_instance_prefix,
                [this, alive = std::weak_ptr{alive_}](const result<std::vector<table_row>>& rows) {
                    if (alive.expired()) {
                        return;
                    }
                    reading_ = false;
                    if (!rows) {
                        return;
                    }
                    for (const auto& row : *rows) {
                        if (const auto gone = parse_gone_instance(row.value)) {
                            on_found_(*gone);
                        }
                    }
                });
}

} // namespace wagtailhatch
