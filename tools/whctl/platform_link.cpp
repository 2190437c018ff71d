#include "tools/whctl/platform_link.h"

#if __has_include("include/platform/http_table_service.h") &&                                                \
                  __has_include("include/platform/http_object_store.h")
#include "include/platform/http_object_store.h"
#include "include/platform/http_table_service.h"
#define WH_HAS_HTTP_PLATFORM 1
#endif

namespace wagtailhatch {

#ifdef WH_HAS_HTTP_PLATFORM
result<std::unique_ptr<platform_link>> make_platform_link(const std::string& address)
{
    auto link = std::make_unique<platform_link>();
    auto client = make_http_client(link->io, http_client_options{});
    if (!client) {
        return client.failure();
    }
    link->client = std::move(*client);
    if (!address.empty()) {
        link->table = make_http_table_service(*link->client, address);
        link->objects = make_http_object_store(*link->client, address);
    }
    return link;
}
#else
result<std::unique_ptr<platform_link>> make_platform_link(const std::string& /*address*/)
{
    return make_error(errc::unavailable, "this build has no platform client");
}
#endif

} // namespace wagtailhatch
