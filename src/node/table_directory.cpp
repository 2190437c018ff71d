#include "src/node/table_directory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

std::string to_json(const member& m)
{
    return nlohmann::json{
        {"id", m.id},           {"service", m.service},         {"data_centre", m.data_centre},
        {"address", m.address}, {"incarnation", m.incarnation}, {"state", std::string{to_string(m.state)}}}
        .dump();
}

bool parse_member(const std::string& text, member& m)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return false;
    }
    m.id = json.value("id", "");
    m.service = json.value("service", "");
    m.data_centre = json.value("data_centre", "");
    m.address = json.value("address", "");
    m.incarnation = json.value("incarnation", std::uint64_t{0});
    const auto state = json.value("state", "");
    const auto found = std::find(member_state_names.begin(), member_state_names.end(), state);
    m.state = static_cast<member_state>(found - member_state_names.begin());
    return found != member_state_names.end();
}

} // namespace

table_directory::table_directory(table_service& table, member self, changed on_change)
    : table_{table}
    , self_{std::move(self)}
    , on_change_{std::move(on_change)}
{
}

void table_directory::join(std::function<void(std::uint64_t)> done)
{
    table_.read(key(), [this, done = std::move(done)](const result<table_row>& row) mutable {
        member old;
        if (row && parse_member(row->value, old)) {
            etag_ = row->etag;
            self_.incarnation = old.incarnation;
        }
        ++self_.incarnation;
        write([this, done = std::move(done)] { done(self_.incarnation); });
    });
}

void table_directory::set_state(member_state state, std::function<void()> done)
{
    self_.state = state;
    write(std::move(done));
}

void table_directory::write(std::function<void()> done)
{
    write_condition condition;
    condition.type =
        etag_.empty() ? write_condition::kind::must_not_exist : write_condition::kind::must_match;
    condition.etag = etag_;
    table_.write(key(), to_json(self_), condition,
                 [this, done = std::move(done)](const result<std::string>& r) {
                     if (r) {
                         etag_ = *r;
                     }
                     done();
                 });
}

void table_directory::refresh()
{
    table_.list("instance/", [this](const result<std::vector<table_row>>& rows) {
        if (!rows) {
            return;
        }
        auto lists = std::make_shared<member_lists>();
        for (const auto& row : *rows) {
            member m;
            if (parse_member(row.value, m) && m.state != member_state::left) {
                (*lists)[m.service].push_back(std::move(m));
            }
        }
        on_change_(lists);
    });
}

} // namespace wagtailhatch
