#include "src/config/change_record.h"

#include "include/config/config_store.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace wagtailhatch {
namespace {

using json = nlohmann::json;

/// Bytes that are not UTF-8 are replaced; a patch that holds some then fails the hash check and the reader
/// takes the whole document.
std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string encode_change(const change_record& record)
{
    json value{{"version", record.version},
               {"previous", record.previous},
               {"id", record.id},
               {"author", record.author},
               {"documents", json::array()}};
    for (const auto& document : record.documents) {
        value["documents"].push_back(
            {{"name", document.name}, {"before", document.before}, {"after", document.after}});
    }
    if (record.has_patches) {
        auto& patches = value["patches"] = json::array();
        for (const auto& patch : record.patches) {
            patches.push_back({{"name", patch.name},
                               {"prefix", patch.prefix},
                               {"suffix", patch.suffix},
                               {"middle", patch.middle}});
        }
    }
    return dump(value);
}

result<change_record> decode_change(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        change_record record;
        record.version = value.at("version").get<std::uint64_t>();
        record.previous = value.at("previous").get<std::string>();
        record.id = value.at("id").get<std::string>();
        record.author = value.at("author").get<std::string>();
        for (const auto& document : value.at("documents")) {
            record.documents.push_back({document.at("name").get<std::string>(),
                                        document.at("before").get<std::string>(),
                                        document.at("after").get<std::string>()});
        }
        record.has_patches = value.contains("patches");
        if (record.has_patches) {
            for (const auto& patch : value.at("patches")) {
                record.patches.push_back(
                    {patch.at("name").get<std::string>(), patch.at("prefix").get<std::uint64_t>(),
                     patch.at("suffix").get<std::uint64_t>(), patch.at("middle").get<std::string>()});
            }
        }
        return record;
    }
    catch (const json::exception& e) {
        return make_error(errc::malformed, std::string{"change record: "} + e.what());
    }
}

std::string encode_head(const config_head& head)
{
    json documents = json::object();
    for (const auto& [name, document] : head.documents) {
        documents[name] = {{"hash", document.hash}, {"changed", document.changed}};
    }
    return dump({{"version", head.version}, {"change", head.change}, {"documents", std::move(documents)}});
}

result<config_head> decode_head(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        config_head head;
        head.version = value.at("version").get<std::uint64_t>();
        head.change = value.at("change").get<std::string>();
        for (const auto& [name, document] : value.at("documents").items()) {
            head.documents[name] = {document.at("hash").get<std::string>(),
                                    document.at("changed").get<std::uint64_t>()};
        }
        return head;
    }
    catch (const json::exception& e) {
        return make_error(errc::malformed, std::string{"config/head: "} + e.what());
    }
}

} // namespace wagtailhatch
