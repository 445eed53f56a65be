#pragma once

#include "cornelquay/nodesettings.h"

#include <openssl/ssl.h>

#include <ctime>
#include <memory>
#include <mutex>

namespace Cornelquay::Details {

/**
 * A certificate and its key, read anew when the certificate's file changes. A pair that cannot be
 * read or does not match leaves the last good one in use. Thread-safe.
 */
class Certificate
{
public:
    explicit Certificate(TlsFiles files);

    /** Whether there is a pair to serve with. */
    bool isUsable();
    /** Makes every new connection of @p context use the newest pair. */
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
    std::int64_t m_loadedModificationTimesNs = 0;
};

}
