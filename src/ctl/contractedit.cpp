#include "ctl/contractedit.h"

#include "ctl/contractlookup.h"
#include "ctl/cutover.h"
#include "ctl/notice.h"
#include "ctl/storedcontract.h"
#include "ctl/textdiff.h"
#include "version/contractparser.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace banyanwall::ctl {

namespace json = boost::json;
using common::errorOf;
using common::isOk;
using common::valueOf;

namespace {

/// One edit of a contract. Reads all contracts, checks the edit and writes it on the condition that
/// the stored document has not changed since it was read.
class ContractEdit
{
public:
    ContractEdit(CommandContext &context, const version::Contract &contract,
                 const std::string &toml)
        : m_context(context)
        , m_contract(contract)
        , m_toml(toml)
        , m_key(contractKey(contract.customer))
    { }

    CommandResult run(std::optional<std::uint64_t> baseVersion)
    {
        if (const auto error = load()) {
            return failure(*error);
        }
        const auto &present = m_storedDocument.value;
        if (present.version > 0 && present.toml == m_toml) {
            return reportUnchanged(m_context, m_key, present.version,
                                   "the contract of customer '" + m_contract.customer
                                           + "' is unchanged at version "
                                           + std::to_string(present.version));
        }
        if (baseVersion && *baseVersion != present.version) {
            return reportConflict(present);
        }
        auto error =
                m_storedContract ? checkCutoverSteps(*m_storedContract, m_contract) : std::nullopt;
        if (!error) {
            error = sendNotices();
        }
        return error ? failure(*error) : write();
    }

private:
    std::optional<common::Error> load()
    {
        const auto contracts = loadContracts(m_context);
        if (!isOk(contracts)) {
            return errorOf(contracts);
        }
        for (const auto &[document, contract] : valueOf(contracts)) {
            if (document.key == m_key) {
                m_storedDocument = document;
                m_storedContract = contract;
                continue;
            }
            auto error = contract ? version::findConflict(m_contract, *contract) : std::nullopt;
            if (error) {
                return error;
            }
        }
        return std::nullopt;
    }

    std::optional<common::Error> sendNotices()
    {
        if (!m_storedContract) {
            return std::nullopt;
        }
        for (const auto &change : shareChanges(*m_storedContract, m_contract)) {
            if (auto error = sendNotice(change, NoticeStatus::Planned)) {
                cancelNotices();
                error->message = "the change was refused: " + error->message;
                return error;
            }
            m_sentNotices.push_back(change);
        }
        return std::nullopt;
    }

    std::optional<common::Error> sendNotice(const ShareChange &change, NoticeStatus status)
    {
        return deliverNotice(m_context.store.context(), m_contract.customer, change,
                             m_context.options.author, status);
    }

    /// Sends the contact centre a cancellation of each delivered notice. A cancellation that cannot
    /// be delivered is reported on the progress output; the operator then has to inform the contact
    /// centre.
    void cancelNotices()
    {
        for (const auto &change : m_sentNotices) {
            if (const auto error = sendNotice(change, NoticeStatus::Cancelled)) {
                m_context.progress("tell the contact centre that the change was not made: "
                                   + error->message);
            }
        }
    }

    CommandResult write()
    {
        const auto next = version::nextVersion(m_storedDocument.value, m_toml,
                                               m_context.options.author, remainingDrains());
        const auto outcome = m_context.store.write(m_key, m_storedDocument.revision,
                                                   version::formatContractDocument(next));
        if (!isOk(outcome)) {
            // After "outcome_unknown" the store may have applied the write, so the notices are not
            // cancelled.
            if (errorOf(outcome).code != "outcome_unknown") {
                cancelNotices();
            }
            return failure(errorOf(outcome));
        }
        if (!valueOf(outcome).applied) {
            cancelNotices();
            return reportWriteConflict(valueOf(outcome));
        }
        return reportAccepted(m_context, m_key, next.version,
                              "the contract of customer '" + m_contract.customer
                                      + "' is accepted as version " + std::to_string(next.version));
    }

    /// Drained upstreams that the new contract still contains.
    std::vector<std::string> remainingDrains() const
    {
        auto drained = m_storedDocument.value.drainedUpstreams;
        std::erase_if(drained,
                      [this](const std::string &name) { return !hasUpstream(m_contract, name); });
        return drained;
    }

    CommandResult reportWriteConflict(const process::PutOutcome &outcome)
    {
        const auto present = outcome.current
                ? version::parseContractDocument(outcome.current->value)
                : common::Result<version::ContractDocument>(version::ContractDocument {});
        if (!isOk(present)) {
            return failure(errorOf(present));
        }
        auto result = reportConflict(valueOf(present));
        if (outcome.outcomeUnknown) {
            result.err += "banyanwallctl: a response of the store was lost; see 'contract history "
                    + m_contract.customer + "' for whether this change was accepted before\n";
        }
        return result;
    }

    CommandResult reportConflict(const version::ContractDocument &present) const
    {
        const auto version = std::to_string(present.version);
        const auto diff = diffLines(present.toml, m_toml);
        const json::object data { { "result", "conflict" },
                                  { "document", m_key },
                                  { "present_version", present.version },
                                  { "present_author", present.author },
                                  { "present_toml", present.toml },
                                  { "your_toml", m_toml } };
        const auto text = "--- version " + version + " by " + present.author + "\n+++ your change\n"
                + (diff.empty() ? "the texts are equal" : diff.substr(0, diff.size() - 1));
        return { ExitCode::Conflict, render(text, data, m_context.options.format),
                 "banyanwallctl: conflict: the contract of customer '" + m_contract.customer
                         + "' is at version " + version + " by " + present.author
                         + "; nothing was written. Merge your change into that version and apply "
                           "it with --base "
                         + version + "\n" };
    }

    CommandContext &m_context;
    const version::Contract &m_contract;
    const std::string &m_toml;
    std::string m_key;
    StoredDocument<version::ContractDocument> m_storedDocument;
    std::optional<version::Contract> m_storedContract;
    std::vector<ShareChange> m_sentNotices;
};

} // namespace

CommandResult editContract(CommandContext &context, const version::Contract &contract,
                           const std::string &toml, std::optional<std::uint64_t> baseVersion)
{
    return ContractEdit(context, contract, toml).run(baseVersion);
}

} // namespace banyanwall::ctl
