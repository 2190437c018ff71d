#include "include/platform/http_table_service.h"

#include "src/platform/percent_encoding.h"
#include "src/platform/platform_call.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace wagtailhatch {
namespace {

result<table_row> to_row(const std::string& key, http_result& answer)
{
    if (!platform_success(answer)) {
        return platform_error(answer, false);
    }
    const auto* etag = find_header(answer.response.headers, "ETag");
    if (etag == nullptr || etag->empty()) {
        return make_error(errc::malformed, "row without an entity tag");
    }
    return table_row{key, std::move(answer.response.body), *etag};
}

bool read_text(const nlohmann::json& from, const char* name, std::string& to)
{
    const auto found = from.find(name);
    if (found == from.end() || !found->is_string()) {
        return false;
    }
    to = found->get<std::string>();
    return true;
}

result<std::vector<table_row>> to_rows(const http_result& answer)
{
    if (!platform_success(answer)) {
        return platform_error(answer, false);
    }
    const auto malformed = make_error(errc::malformed, "list of rows");
    const auto json = nlohmann::json::parse(answer.response.body, nullptr, false);
    if (!json.is_object() || !json.contains("rows") || !json["rows"].is_array()) {
        return malformed;
    }
    std::vector<table_row> rows;
    for (const auto& entry : json["rows"]) {
        table_row row;
        if (!entry.is_object() || !read_text(entry, "key", row.key) ||
            !read_text(entry, "value", row.value) || !read_text(entry, "etag", row.etag)) {
            return malformed;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

result<std::string> to_etag(const http_result& answer)
{
    if (!platform_success(answer)) {
        return platform_error(answer, true);
    }
    const auto* etag = find_header(answer.response.headers, "ETag");
    if (etag == nullptr || etag->empty()) {
        return make_error(errc::timeout, "write answered without an entity tag");
    }
    return *etag;
}

class http_table_service final : public table_service {
public:
    http_table_service(http_client& client, std::string address, duration timeout)
        : client_{client}
        , address_{std::move(address)}
        , timeout_{timeout}
    {
    }

    void read(const std::string& key, std::function<void(result<table_row>)> done) override
    {
        client_.start(platform_read(address_, "/table/" + percent_encode(key), timeout_),
                      [key, done = std::move(done)](http_result answer) { done(to_row(key, answer)); });
    }

    void list(const std::string& prefix, std::function<void(result<std::vector<table_row>>)> done) override
    {
        client_.start(platform_read(address_, "/table?prefix=" + percent_encode(prefix), timeout_),
                      [done = std::move(done)](const http_result& answer) { done(to_rows(answer)); });
    }

    void write(const std::string& key, const std::string& value, const write_condition& condition,
               std::function<void(result<std::string>)> done) override
    {
        auto call = platform_write(address_, "/table/" + percent_encode(key), value, timeout_);
        if (condition.type == write_condition::kind::must_not_exist) {
            call.request.headers.push_back(http_header{"If-None-Match", "*"});
        }
        else {
            call.request.headers.push_back(http_header{"If-Match", condition.etag});
        }
        client_.start(std::move(call),
                      [done = std::move(done)](const http_result& answer) { done(to_etag(answer)); });
    }

private:
    http_client& client_;
    std::string address_;
    duration timeout_;
};

} // namespace

std::unique_ptr<table_service> make_http_table_service(http_client& client, std::string address,
                                                       duration timeout)
{
    return std::make_unique<http_table_service>(client, std::move(address), timeout);
}

} // namespace wagtailhatch
