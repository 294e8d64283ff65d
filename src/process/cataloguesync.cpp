#include "process/cataloguesync.h"

#include "process/logging.h"

#include <algorithm>

namespace banyanwall::process {

namespace {

/// Settled maps are applied before the rosters that they belong to, and zone states before
/// contracts, so that no roster is built from incomplete data.
int applyOrder(const wire::proto::Document &document)
{
    if (document.key().starts_with(SettledKeyPrefix)) {
        return 0;
    }
    return document.key() == version::ZonesKey ? 1 : 2;
}

} // namespace

CatalogueSync::CatalogueSync(DocumentApplier &applier, const MembershipDriver &membership,
                             PeerSink &peers)
    : m_applier(applier)
    , m_membership(membership)
    , m_peers(peers)
{ }

bool CatalogueSync::onStoreRead(const std::map<std::string, std::string> &values,
                                common::TimePoint now)
{
    std::vector<wire::proto::Document> documents;
    for (const auto &[key, value] : values) {
        if (auto document = DocumentApplier::documentOf(key, value)) {
            documents.push_back(std::move(*document));
        } else {
            LogEvent(LogLevel::Error, "document_unreadable").with("key", key);
        }
    }
    m_isComplete = true;
    return acceptAll(std::move(documents), std::nullopt, now);
}

bool CatalogueSync::acceptAll(std::vector<wire::proto::Document> documents,
                              std::optional<common::InstanceId> sender, common::TimePoint now)
{
    std::ranges::stable_sort(documents, {}, applyOrder);
    bool changed = false;
    for (const auto &document : documents) {
        changed = accept(document, sender, now) || changed;
    }
    return changed;
}

bool CatalogueSync::onStoreValue(const std::string &key, const std::string &value,
                                 common::TimePoint now)
{
    const auto document = DocumentApplier::documentOf(key, value);
    if (!document) {
        LogEvent(LogLevel::Error, "document_unreadable").with("key", key);
        return false;
    }
    return accept(*document, std::nullopt, now);
}

bool CatalogueSync::accept(const wire::proto::Document &document,
                           std::optional<common::InstanceId> sender, common::TimePoint now)
{
    if (!m_catalogue.put(document)) {
        return false;
    }
    const auto keyHash = version::Catalogue::keyHash(document.key());
    m_fetches.erase(keyHash);
    wire::proto::PeerMessage message;
    auto &offered = *message.mutable_catalogue_offer()->add_versions();
    offered.set_key_hash(keyHash);
    offered.set_version(document.version());
    for (const auto neighbour : m_membership.membership().neighbours()) {
        if (neighbour != sender) {
            m_peers.toPeer(neighbour, message);
        }
    }
    m_applier.apply(document, now);
    return true;
}

void CatalogueSync::onDigest(common::InstanceId sender, std::uint64_t digest)
{
    auto &mismatches = m_digestMismatches[sender];
    if (digest == m_catalogue.digest()) {
        mismatches = 0;
        return;
    }
    if (++mismatches >= MismatchesBeforeRepair) {
        mismatches = 0;
        sendSummary(sender, true);
    }
}

void CatalogueSync::sendSummary(common::InstanceId receiver, bool replyWanted)
{
    wire::proto::PeerMessage message;
    auto &summary = *message.mutable_catalogue_summary();
    for (const auto &version : m_catalogue.versions()) {
        *summary.add_versions() = version;
    }
    summary.set_reply_wanted(replyWanted);
    m_peers.toPeer(receiver, message);
}

void CatalogueSync::onSummary(common::InstanceId sender,
                              const wire::proto::CatalogueSummary &summary)
{
    const std::vector<wire::proto::DocumentVersion> peerVersions(summary.versions().begin(),
                                                                 summary.versions().end());
    wire::proto::PeerMessage message;
    for (const auto &document : m_catalogue.newerThan(peerVersions)) {
        *message.mutable_catalogue_push()->add_documents() = document;
    }
    if (message.has_catalogue_push()) {
        message.mutable_catalogue_push()->set_repair(true);
        m_peers.toPeer(sender, message);
    }
    if (summary.reply_wanted() && m_catalogue.isBehind(peerVersions)) {
        sendSummary(sender, false);
    }
}

void CatalogueSync::onOffer(common::InstanceId sender, const wire::proto::CatalogueOffer &offer,
                            common::TimePoint now)
{
    if (!m_isComplete) {
        // Until the catalogue is complete, only a repair adds documents, because it contains the
        // offered documents together with all others.
        return;
    }
    wire::proto::PeerMessage message;
    for (const auto &version : offer.versions()) {
        if (startFetch(version, now)) {
            message.mutable_catalogue_fetch()->add_key_hashes(version.key_hash());
        }
    }
    if (message.has_catalogue_fetch()) {
        m_peers.toPeer(sender, message);
    }
}

bool CatalogueSync::startFetch(const wire::proto::DocumentVersion &offered, common::TimePoint now)
{
    const auto *known = m_catalogue.findByHash(offered.key_hash());
    if (known != nullptr && known->version() >= offered.version()) {
        return false;
    }
    auto &fetch = m_fetches[offered.key_hash()];
    if (fetch.version >= offered.version() && now - fetch.started < FetchTimeout) {
        return false;
    }
    fetch = { offered.version(), now };
    return true;
}

void CatalogueSync::onFetch(common::InstanceId sender, const wire::proto::CatalogueFetch &fetch)
{
    wire::proto::PeerMessage message;
    for (const auto keyHash : fetch.key_hashes()) {
        if (const auto *document = m_catalogue.findByHash(keyHash); document != nullptr) {
            *message.mutable_catalogue_push()->add_documents() = *document;
        }
    }
    if (message.has_catalogue_push()) {
        m_peers.toPeer(sender, message);
    }
}

void CatalogueSync::onPush(common::InstanceId sender, const wire::proto::CataloguePush &push,
                           common::TimePoint now)
{
    if (!push.repair() && !m_isComplete) {
        // Until the catalogue is complete, only a repair adds documents, because it contains
        // them together with all others.
        return;
    }
    m_isComplete = true;
    acceptAll({ push.documents().begin(), push.documents().end() }, sender, now);
}

} // namespace banyanwall::process
