#include "include/config/config_store.h"

#include "src/config/accept_operation.h"
#include "src/config/config_fetch.h"

#include <utility>

namespace wagtailhatch {

config_store::config_store(table_service& table, object_store& objects)
    : table_{table}
    , objects_{objects}
{
}

void config_store::read_head(std::function<void(result<head_row>)> done)
{
    table_.read(std::string{config_head_key}, [done = std::move(done)](const result<table_row>& row) {
        if (!row) {
            if (row.failure().code == errc::not_found) {
                done(head_row{});
            }
            else {
                done(row.failure());
            }
            return;
        }
        const auto head = decode_head(row->value);
        if (head) {
            done(head_row{*head, row->etag});
        }
        else {
            done(head.failure());
        }
    });
}

void config_store::read_documents(const config_head& head, std::function<void(result<document_set>)> done)
{
    std::vector<std::string> names;
    for (const auto& [name, document] : head.documents) {
        names.push_back(name);
    }
    fetch_documents(objects_, head, names, std::move(done));
}

void config_store::accept(accept_request request, std::function<void(accept_outcome)> done)
{
    std::make_shared<accept_operation>(*this, table_, objects_, std::move(request), std::move(done))->start();
}

} // namespace wagtailhatch
