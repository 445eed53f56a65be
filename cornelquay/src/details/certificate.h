#pragma once

#include "cornelquay/nodesettings.h"

#include <openssl/ssl.h>

#include <ctime>
#include <memory>
#include <mutex>

namespace Cornelquay::Details {

/**
 * A certificate and its private key, reloaded on a handshake after either file has changed. If the
 * new pair cannot be read or does not match, the last valid one stays in use. Only the first
 * certificate of the file is used, not the intermediate ones after it. Thread-safe.
 */
class Certificate
{
public:
    explicit Certificate(TlsFiles files);

    /** Loads the pair if a file has changed; returns whether any valid pair has been loaded so far. */
    bool isUsable();
    /**
     * Makes each new connection of @p context use the current pair and at least TLS 1.2. This object must
     * outlive @p context.
     */
    void installInto(SSL_CTX &context);

private:
    struct Pair {
        std::unique_ptr<X509, decltype(&X509_free)> certificate{nullptr, &X509_free};
        std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key{nullptr, &EVP_PKEY_free};
    };

    static int onHandshake(SSL *connection, void *certificate);
    std::shared_ptr<const Pair> current();
    std::shared_ptr<const Pair> load() const;

    const TlsFiles m_files;
    std::mutex m_mutex;
    std::shared_ptr<const Pair> m_pair;
    /** Sum of both files' modification times at the last attempt to load them. */
    std::int64_t m_loadedModificationTimesNs = 0;
};

}
