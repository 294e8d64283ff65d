#include "version/catalogue.h"

#include "common/hash.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace banyanwall::version {

namespace {

using Versions = std::vector<wire::proto::DocumentVersion>;

std::map<std::uint64_t, std::uint64_t> byKeyHash(const Versions &versions)
{
    std::map<std::uint64_t, std::uint64_t> index;
    for (const auto &version : versions) {
        index[version.key_hash()] = version.version();
    }
    return index;
}

} // namespace

std::uint64_t Catalogue::keyHash(const std::string &key)
{
    return common::hashBytes(key);
}

bool Catalogue::put(const Document &document)
{
    if (document.version() == 0) {
        return false;
    }
    auto &known = m_documents[document.key()];
    if (document.version() <= known.version()) {
        return false;
    }
    const auto key = keyHash(document.key());
    // The digest is the sum of the hashes of all documents, so that one change updates it in
    // constant time.
    if (known.version() == 0) {
        m_keys.emplace(key, document.key());
    } else {
        m_digest -= common::hashPair(key, known.version());
    }
    m_digest += common::hashPair(key, document.version());
    known = document;
    return true;
}

const Catalogue::Document *Catalogue::find(const std::string &key) const
{
    const auto found = m_documents.find(key);
    return found == m_documents.end() ? nullptr : &found->second;
}

const Catalogue::Document *Catalogue::findByHash(std::uint64_t keyHash) const
{
    const auto found = m_keys.find(keyHash);
    return found == m_keys.end() ? nullptr : find(found->second);
}

Versions Catalogue::versions() const
{
    Versions versions;
    versions.reserve(m_documents.size());
    std::ranges::transform(m_documents, std::back_inserter(versions), [](const auto &entry) {
        wire::proto::DocumentVersion version;
        version.set_key_hash(keyHash(entry.first));
        version.set_version(entry.second.version());
        return version;
    });
    return versions;
}

std::vector<Catalogue::Document> Catalogue::newerThan(const Versions &peerVersions) const
{
    const auto known = byKeyHash(peerVersions);
    std::vector<Document> newer;
    for (const auto &[key, document] : m_documents) {
        const auto found = known.find(keyHash(key));
        if (found == known.end() || found->second < document.version()) {
            newer.push_back(document);
        }
    }
    return newer;
}

bool Catalogue::isBehind(const Versions &peerVersions) const
{
    const auto own = byKeyHash(versions());
    return std::ranges::any_of(peerVersions, [&own](const auto &version) {
        const auto found = own.find(version.key_hash());
        return found == own.end() || found->second < version.version();
    });
}

} // namespace banyanwall::version
