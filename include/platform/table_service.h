#pragma once

#include "include/core/result.h"

#include <functional>
#include <string>
#include <vector>

namespace wagtailhatch {

/// A row with the version that conditional writes compare.
struct table_row {
    std::string key;
    std::string value;
    std::string etag; ///< Opaque.
};

/// Condition of a write.
struct write_condition {
    enum class kind { must_not_exist, must_match };
    kind type = kind::must_not_exist;
    std::string etag; ///< For must_match.
};

/// The platform's transactional table. Completions run on the caller's event loop.
/// Errors: errc::not_found, errc::conflict, errc::unavailable (certainly no effect),
/// errc::timeout (a write may have taken effect: read to find out).
class table_service {
public:
    virtual ~table_service() = default;

    virtual void read(const std::string& key, std::function<void(result<table_row>)> done) = 0;

    /// All rows whose key starts with prefix, sorted by key.
    virtual void list(const std::string& prefix,
                      std::function<void(result<std::vector<table_row>>)> done) = 0;

    /// Writes if the condition holds; answers the row's new etag.
    virtual void write(const std::string& key, const std::string& value, const write_condition& condition,
                       std::function<void(result<std::string>)> done) = 0;
};

/// The platform's object store; names are content hashes, so objects never change.
class object_store {
public:
    virtual ~object_store() = default;

    virtual void get(const std::string& name, std::function<void(result<std::string>)> done) = 0;
    virtual void put(const std::string& name, const std::string& content,
                     std::function<void(result<bool>)> done) = 0;
};

} // namespace wagtailhatch
