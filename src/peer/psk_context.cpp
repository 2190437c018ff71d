#include "src/peer/psk_context.h"

#include <openssl/ssl.h>

#include <array>
#include <cstring>
#include <string_view>

namespace wagtailhatch {
namespace {

constexpr std::string_view psk_identity{"wagtailhatch-peer-1"};
constexpr std::array<unsigned char, 2> session_context{'w', 'h'};
constexpr std::array<unsigned char, 2> aes_128_gcm_sha256{0x13, 0x01};

/// Where the OpenSSL context keeps the key; its application data belongs to Asio.
int key_index()
{
    static const int index = SSL_CTX_get_ex_new_index(0, nullptr, nullptr, nullptr, nullptr);
    return index;
}

SSL_SESSION* make_session(SSL* ssl)
{
    const auto* key = static_cast<const proof*>(SSL_CTX_get_ex_data(SSL_get_SSL_CTX(ssl), key_index()));
    const SSL_CIPHER* cipher = SSL_CIPHER_find(ssl, aes_128_gcm_sha256.data());
    SSL_SESSION* session = SSL_SESSION_new();
    if (session == nullptr || cipher == nullptr || key == nullptr ||
        SSL_SESSION_set1_master_key(session, key->data(), key->size()) != 1 ||
        SSL_SESSION_set_cipher(session, cipher) != 1 ||
        SSL_SESSION_set1_id_context(session, session_context.data(), session_context.size()) != 1 ||
        SSL_SESSION_set_protocol_version(session, TLS1_3_VERSION) != 1) {
        SSL_SESSION_free(session);
        return nullptr;
    }
    return session;
}

int offer_key(SSL* ssl, const EVP_MD* digest, const unsigned char** identity, std::size_t* identity_size,
              SSL_SESSION** session)
{
    *session = nullptr;
    *identity = reinterpret_cast<const unsigned char*>(psk_identity.data());
    *identity_size = psk_identity.size();
    if (digest != nullptr && EVP_MD_get_type(digest) != EVP_MD_get_type(EVP_sha256())) {
        return 1; // A retry for another digest: offer nothing, so that the handshake fails.
    }
    *session = make_session(ssl);
    return *session == nullptr ? 0 : 1;
}

int find_key(SSL* ssl, const unsigned char* identity, std::size_t identity_size, SSL_SESSION** session)
{
    const std::string_view offered{reinterpret_cast<const char*>(identity), identity_size};
    *session = offered == psk_identity ? make_session(ssl) : nullptr;
    return 1;
}

} // namespace

psk_context::psk_context(const std::string& secret)
    : context_{asio::ssl::context::tlsv13}
    , key_{std::make_unique<proof>(derive_key(secret, "wagtailhatch peer tls 1"))}
{
    // A peer with a certificate instead of the key must fail: no certificate authority is trusted.
    context_.set_verify_mode(asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
    SSL_CTX* ctx = context_.native_handle();
    SSL_CTX_set_min_proto_version(ctx, TLS1_3_VERSION);
    SSL_CTX_set_max_proto_version(ctx, TLS1_3_VERSION);
    SSL_CTX_set_ciphersuites(ctx, "TLS_AES_128_GCM_SHA256");
    SSL_CTX_set_session_cache_mode(ctx, SSL_SESS_CACHE_OFF);
    SSL_CTX_set_num_tickets(ctx, 0);
    SSL_CTX_set_ex_data(ctx, key_index(), key_.get());
    // OpenSSL refuses sessions on a context that verifies peers and has no session id context.
    SSL_CTX_set_session_id_context(ctx, session_context.data(), session_context.size());
    SSL_CTX_set_psk_use_session_callback(ctx, offer_key);
    SSL_CTX_set_psk_find_session_callback(ctx, find_key);
}

} // namespace wagtailhatch
