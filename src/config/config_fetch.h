#pragma once

#include "include/config/config_state.h"
#include "include/platform/table_service.h"
#include "src/config/change_record.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Gets an object and checks it against its name. Fails with errc::malformed if it has another content.
void fetch_object(object_store& objects, const std::string& hash,
                  std::function<void(result<std::string>)> done);

/// The texts of the named documents of a head, all or none.
void fetch_documents(object_store& objects, const config_head& head, const std::vector<std::string>& names,
                     std::function<void(result<std::map<std::string, std::string>>)> done);

/// The change records from `from` + 1 up to the head's version, oldest first.
/// Fails with errc::malformed if the chain does not lead to that version.
void fetch_changes(object_store& objects, const config_head& head, std::uint64_t from,
                   std::function<void(result<std::vector<change_record>>)> done);

} // namespace wagtailhatch
