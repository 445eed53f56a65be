#include "details/certificate.h"

#include "telemetry/log.h"

#include <openssl/pem.h>

#include <sys/stat.h>

#include <cstdio>

namespace Cornelquay::Details {

namespace {

struct FileCloser {
    void operator()(std::FILE *file) const
    {
        std::fclose(file);
    }
};
using File = std::unique_ptr<std::FILE, FileCloser>;

/** Modification time in nanoseconds since the Unix epoch; 0 if the file cannot be examined. */
std::int64_t modificationTimeNs(const std::string &path)
{
    constexpr std::int64_t NanosecondsPerSecond = 1000000000;
    struct stat fileStatus {
    };
    if (stat(path.c_str(), &fileStatus) != 0) {
        return 0;
    }
    return fileStatus.st_mtim.tv_sec * NanosecondsPerSecond + fileStatus.st_mtim.tv_nsec;
}

}

Certificate::Certificate(TlsFiles files)
    : m_files(std::move(files))
{
}

std::shared_ptr<const Certificate::Pair> Certificate::load() const
{
    const File certificateFile(std::fopen(m_files.certificate.c_str(), "re"));
    const File keyFile(std::fopen(m_files.key.c_str(), "re"));
    if (!certificateFile || !keyFile) {
        return nullptr;
    }
    auto pair = std::make_shared<Pair>();
    pair->certificate.reset(PEM_read_X509(certificateFile.get(), nullptr, nullptr, nullptr));
    pair->key.reset(PEM_read_PrivateKey(keyFile.get(), nullptr, nullptr, nullptr));
    const bool matches = pair->certificate && pair->key && X509_check_private_key(pair->certificate.get(), pair->key.get()) == 1;
    return matches ? pair : nullptr;
}

std::shared_ptr<const Certificate::Pair> Certificate::current()
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t modificationTimesNs = modificationTimeNs(m_files.certificate) + modificationTimeNs(m_files.key);
    if (modificationTimesNs == m_loadedModificationTimesNs) {
        return m_pair;
    }
    m_loadedModificationTimesNs = modificationTimesNs;
    if (std::shared_ptr<const Pair> loaded = load()) {
        m_pair = std::move(loaded);
        logChange("tls", "certificate loaded", {{"file", m_files.certificate}});
    } else {
        logChange("tls", "certificate and key cannot be loaded or do not match; the last valid pair stays in use", {{"file", m_files.certificate}});
    }
    return m_pair;
}

bool Certificate::isUsable()
{
    return current() != nullptr;
}

int Certificate::onHandshake(SSL *connection, void *certificate)
{
    const std::shared_ptr<const Pair> pair = static_cast<Certificate *>(certificate)->current();
    if (!pair) {
        return 0;
    }
    const bool installed = SSL_use_certificate(connection, pair->certificate.get()) == 1 && SSL_use_PrivateKey(connection, pair->key.get()) == 1;
    return installed ? 1 : 0;
}

void Certificate::installInto(SSL_CTX &context)
{
    SSL_CTX_set_min_proto_version(&context, TLS1_2_VERSION);
    SSL_CTX_set_cert_cb(&context, &Certificate::onHandshake, this);
}

}
