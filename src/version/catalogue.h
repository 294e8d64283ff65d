#pragma once

#include "common/time.h"
#include "documents.pb.h"
#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanwall::version {

/// Newest known version of each document: contracts, zone states and settled maps. A higher version
/// replaces a lower one; a lower or equal one is ignored, so that late messages cannot revert a
/// document. Not thread-safe.
class Catalogue
{
public:
    using Document = wire::proto::Document;

    /// Stores the document if it is newer than the known one. Returns true if it was stored.
    bool put(const Document &document);
    [[nodiscard]] const Document *find(const std::string &key) const;

    [[nodiscard]] const Document *findByHash(std::uint64_t keyHash) const;

    /// Returns a hash of all keys and versions, to compare catalogues between instances.
    [[nodiscard]] std::uint64_t digest() const { return m_digest; }

    [[nodiscard]] std::vector<wire::proto::DocumentVersion> versions() const;
    /// Returns the documents that are newer here than in peerVersions or missing there.
    [[nodiscard]] std::vector<Document>
    newerThan(const std::vector<wire::proto::DocumentVersion> &peerVersions) const;
    /// Returns true when peerVersions holds a document that is missing or older here.
    [[nodiscard]] bool
    isBehind(const std::vector<wire::proto::DocumentVersion> &peerVersions) const;

    [[nodiscard]] const std::map<std::string, Document> &documents() const { return m_documents; }

    [[nodiscard]] static std::uint64_t keyHash(const std::string &key);

private:
    std::map<std::string, Document> m_documents;
    std::unordered_map<std::uint64_t, std::string> m_keys;
    std::uint64_t m_digest = 0;
};

} // namespace banyanwall::version
