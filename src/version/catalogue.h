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

/// Newest known version of each document: contracts, zone states, settled maps. A higher version
/// replaces a lower one, a lower or equal one is ignored, so that nothing reverts. Not thread-safe.
class Catalogue
{
public:
    using Document = wire::proto::Document;

    /// Returns true when the document was newer than the known one.
    bool put(const Document &document);
    [[nodiscard]] const Document *find(const std::string &key) const;

    [[nodiscard]] const Document *findByHash(std::uint64_t keyHash) const;

    /// Hash over keys and versions; equal digests mean equal catalogues.
    [[nodiscard]] std::uint64_t digest() const { return m_digest; }

    [[nodiscard]] std::vector<wire::proto::DocumentVersion> versions() const;
    /// Documents that are newer here than in theirs.
    [[nodiscard]] std::vector<Document>
    newerThan(const std::vector<wire::proto::DocumentVersion> &theirs) const;
    /// True when theirs names a version that is newer than the one known here.
    [[nodiscard]] bool isBehind(const std::vector<wire::proto::DocumentVersion> &theirs) const;

    [[nodiscard]] const std::map<std::string, Document> &documents() const { return m_documents; }

    [[nodiscard]] static std::uint64_t keyHash(const std::string &key);

private:
    std::map<std::string, Document> m_documents;
    std::unordered_map<std::uint64_t, std::string> m_keys;
    std::uint64_t m_digest = 0;
};

} // namespace banyanwall::version
