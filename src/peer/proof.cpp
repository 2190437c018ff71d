#include "src/peer/proof.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <string>

namespace wagtailhatch {

proof make_proof(std::string_view key, std::string_view first, std::string_view second)
{
    std::string message;
    message.reserve(first.size() + second.size());
    message.append(first).append(second);
    proof out{};
    unsigned int size = proof_size;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(message.data()), message.size(), out.data(), &size);
    return out;
}

bool equal_proof(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace wagtailhatch
