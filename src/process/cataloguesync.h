#pragma once

#include "process/documentapplier.h"
#include "process/membershipdriver.h"
#include "process/sinks.h"
#include "version/catalogue.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace banyanwall::process {

/// Replicates the documents of the catalogue among the instances.
///
/// An instance that gets a new document offers its version to all neighbours at once; each of them
/// fetches the document from the first neighbour that offers it, and offers it in turn. A digest in
/// each heartbeat shows missed offers; the two instances then compare their versions. Not
/// thread-safe; runs on the control thread.
class CatalogueSync
{
public:
    /// Consecutive heartbeats of a peer with a different digest before the versions are compared; a
    /// document that is still on its way needs no repair.
    static constexpr std::uint32_t MismatchesBeforeRepair = 2;

    /// After this time without the document, it is fetched from the next neighbour that offers it.
    static constexpr common::Duration FetchTimeout = std::chrono::milliseconds(200);

    CatalogueSync(DocumentApplier &applier, const MembershipDriver &membership, PeerSink &peers);

    /// Applies all values of the store together, because a part of the catalogue is not enough: a
    /// roster without its settled map would get wrong defaults. Returns true when a document was
    /// newer than the known one.
    bool onStoreRead(const std::map<std::string, std::string> &values, common::TimePoint now);
    /// Applies one value that the store reported or that this instance has written. Returns true
    /// when it is newer than the known one.
    bool onStoreValue(const std::string &key, const std::string &value, common::TimePoint now);
    /// Compares the catalogue digest of a heartbeat with the own one and sends a summary of the
    /// versions after MismatchesBeforeRepair mismatches.
    void onDigest(common::InstanceId sender, std::uint64_t digest);
    void onSummary(common::InstanceId sender, const wire::proto::CatalogueSummary &summary);
    void onOffer(common::InstanceId sender, const wire::proto::CatalogueOffer &offer,
                 common::TimePoint now);
    void onFetch(common::InstanceId sender, const wire::proto::CatalogueFetch &fetch);
    void onPush(common::InstanceId sender, const wire::proto::CataloguePush &push,
                common::TimePoint now);

    /// The complete catalogue has been read from the store or from a peer.
    [[nodiscard]] bool isComplete() const { return m_isComplete; }

    [[nodiscard]] const version::Catalogue &catalogue() const { return m_catalogue; }

private:
    bool accept(const wire::proto::Document &document, std::optional<common::InstanceId> sender,
                common::TimePoint now);
    bool acceptAll(std::vector<wire::proto::Document> documents,
                   std::optional<common::InstanceId> sender, common::TimePoint now);
    /// Returns true, and records the fetch, when the version is newer than the known one and no
    /// fetch of it has started within FetchTimeout.
    [[nodiscard]] bool startFetch(const wire::proto::DocumentVersion &offered,
                                  common::TimePoint now);
    void sendSummary(common::InstanceId receiver, bool replyWanted);

    DocumentApplier &m_applier;
    const MembershipDriver &m_membership;
    PeerSink &m_peers;
    version::Catalogue m_catalogue;
    bool m_isComplete = false;

    struct Fetch
    {
        std::uint64_t version = 0;
        common::TimePoint started;
    };

    /// Latest fetch by hash of the document key.
    std::map<std::uint64_t, Fetch> m_fetches;
    /// Consecutive heartbeats with a different digest, by sender.
    std::map<common::InstanceId, std::uint32_t> m_digestMismatches;
};

} // namespace banyanwall::process
