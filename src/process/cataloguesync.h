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

/// Spreads the documents of the catalogue: new ones are pushed to all neighbours at once, and
/// differing digests in heartbeats repair what a push missed. Not thread-safe; runs on the control
/// thread.
class CatalogueSync
{
public:
    /// Heartbeats in a row with another digest before the versions are compared; a push that is on
    /// its way needs no repair.
    static constexpr std::uint32_t DifferencesBeforeRepair = 2;

    CatalogueSync(DocumentApplier &applier, const MembershipDriver &membership, PeerSink &peers);

    /// Takes all values of the store at once. An instance knows no part of the catalogue without
    /// the rest: a roster without its settled map would get wrong defaults.
    bool onStoreRead(const std::map<std::string, std::string> &values, common::TimePoint now);
    /// A value that the store reported or that this instance has written. Returns true when it is
    /// news.
    bool onStoreValue(const std::string &key, const std::string &value, common::TimePoint now);
    void onDigest(common::InstanceId sender, std::uint64_t digest);
    void onSummary(common::InstanceId sender, const wire::proto::CatalogueSummary &summary);
    void onPush(common::InstanceId sender, const wire::proto::CataloguePush &push,
                common::TimePoint now);

    /// The whole catalogue has been read from the store or from a peer.
    [[nodiscard]] bool isComplete() const { return m_complete; }

    [[nodiscard]] const version::Catalogue &catalogue() const { return m_catalogue; }

private:
    bool accept(const wire::proto::Document &document, std::optional<common::InstanceId> from,
                common::TimePoint now);
    bool acceptAll(std::vector<wire::proto::Document> documents,
                   std::optional<common::InstanceId> from, common::TimePoint now);
    void sendSummary(common::InstanceId receiver, bool replyWanted);

    DocumentApplier &m_applier;
    const MembershipDriver &m_membership;
    PeerSink &m_peers;
    version::Catalogue m_catalogue;
    bool m_complete = false;
    std::map<common::InstanceId, std::uint32_t> m_differences;
};

} // namespace banyanwall::process
