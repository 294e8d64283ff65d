#include "process/cataloguesync.h"

#include "process/logging.h"

#include <algorithm>

namespace banyanwall::process {

namespace {

/// Settled maps come before the rosters that they belong to, and zone states before contracts, so
/// that no roster is built from a part of what is known.
int rankOf(const wire::proto::Document &document)
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
    m_complete = true;
    return acceptAll(std::move(documents), std::nullopt, now);
}

bool CatalogueSync::acceptAll(std::vector<wire::proto::Document> documents,
                              std::optional<common::InstanceId> from, common::TimePoint now)
{
    std::ranges::stable_sort(documents, {}, rankOf);
    bool news = false;
    for (const auto &document : documents) {
        news = accept(document, from, now) || news;
    }
    return news;
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
                           std::optional<common::InstanceId> from, common::TimePoint now)
{
    if (!m_catalogue.put(document)) {
        return false;
    }
    wire::proto::PeerMessage message;
    *message.mutable_catalogue_push()->add_documents() = document;
    for (const auto neighbour : m_membership.membership().neighbours()) {
        if (neighbour != from) {
            m_peers.toPeer(neighbour, message);
        }
    }
    m_applier.apply(document, now);
    return true;
}

void CatalogueSync::onDigest(common::InstanceId sender, std::uint64_t digest)
{
    auto &differences = m_differences[sender];
    if (digest == m_catalogue.digest()) {
        differences = 0;
        return;
    }
    if (++differences >= DifferencesBeforeRepair) {
        differences = 0;
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
    const std::vector<wire::proto::DocumentVersion> theirs(summary.versions().begin(),
                                                           summary.versions().end());
    wire::proto::PeerMessage message;
    for (const auto &document : m_catalogue.newerThan(theirs)) {
        *message.mutable_catalogue_push()->add_documents() = document;
    }
    if (message.has_catalogue_push()) {
        message.mutable_catalogue_push()->set_repair(true);
        m_peers.toPeer(sender, message);
    }
    if (summary.reply_wanted() && m_catalogue.isBehind(theirs)) {
        sendSummary(sender, false);
    }
}

void CatalogueSync::onPush(common::InstanceId sender, const wire::proto::CataloguePush &push,
                           common::TimePoint now)
{
    if (!push.repair() && !m_complete) {
        // The comparison of digests brings it together with the rest.
        return;
    }
    m_complete = true;
    acceptAll({ push.documents().begin(), push.documents().end() }, sender, now);
}

} // namespace banyanwall::process
