#pragma once

#include "src/peer/proof.h"

#include <asio/ssl/context.hpp>

#include <memory>
#include <string>

namespace wagtailhatch {

/// TLS 1.3 context for both ends of a peer connection, with a pre-shared key and no certificates.
class psk_context {
public:
    explicit psk_context(const std::string& secret);
    psk_context(const psk_context&) = delete;
    psk_context& operator=(const psk_context&) = delete;

    asio::ssl::context& context() { return context_; }

private:
    asio::ssl::context context_;
    std::unique_ptr<proof> key_; ///< The OpenSSL context points to it.
};

} // namespace wagtailhatch
