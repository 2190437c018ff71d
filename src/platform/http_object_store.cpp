#include "include/platform/http_object_store.h"

#include "src/platform/percent_encoding.h"
#include "src/platform/platform_call.h"

#include <utility>

namespace wagtailhatch {
namespace {

class http_object_store final : public object_store {
public:
    http_object_store(http_client& client, std::string address, duration timeout)
        : client_{client}
        , address_{std::move(address)}
        , timeout_{timeout}
    {
    }

    void get(const std::string& name, std::function<void(result<std::string>)> done) override
    {
        client_.start(platform_read(address_, "/object/" + percent_encode(name), timeout_),
                      [done = std::move(done)](http_result answer) {
                          if (platform_success(answer)) {
                              done(std::move(answer.response.body));
                          }
                          else {
                              done(platform_error(answer, false));
                          }
                      });
    }

    void put(const std::string& name, const std::string& content,
             std::function<void(result<bool>)> done) override
    {
        client_.start(platform_write(address_, "/object/" + percent_encode(name), content, timeout_),
                      [done = std::move(done)](const http_result& answer) {
                          if (platform_success(answer)) {
                              done(true);
                          }
                          else {
                              done(platform_error(answer, true));
                          }
                      });
    }

private:
    http_client& client_;
    std::string address_;
    duration timeout_;
};

} // namespace

std::unique_ptr<object_store> make_http_object_store(http_client& client, std::string address,
                                                     duration timeout)
{
    return std::make_unique<http_object_store>(client, std::move(address), timeout);
}

} // namespace wagtailhatch
