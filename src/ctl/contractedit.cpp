#include "ctl/contractedit.h"

#include "ctl/cutover.h"
#include "ctl/notice.h"
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

/// One edit from reading the store to writing it.
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

    CommandResult run(std::optional<std::uint64_t> base)
    {
        if (const auto error = load()) {
            return failure(*error);
        }
        const auto &present = m_stored.value;
        if (present.version > 0 && present.toml == m_toml) {
            return unchanged(m_context, m_key, present.version,
                             "the contract of customer '" + m_contract.customer
                                     + "' is unchanged at version "
                                     + std::to_string(present.version));
        }
        if (base && *base != present.version) {
            return conflict(present);
        }
        auto error = m_former ? checkSteps(*m_former, m_contract) : std::nullopt;
        if (!error) {
            error = announce();
        }
        return error ? failure(*error) : write();
    }

private:
    std::optional<common::Error> load()
    {
        const auto documents = m_context.store.contracts();
        if (!isOk(documents)) {
            return errorOf(documents);
        }
        for (const auto &document : valueOf(documents)) {
            const bool own = document.key == m_key;
            if (own) {
                m_stored = document;
            }
            const auto contract = version::parseContract(document.value.toml, document.key);
            if (!isOk(contract)) {
                // A damaged contract must neither block its own repair nor other customers.
                m_context.progress("skipped in all checks: " + errorOf(contract).message);
            } else if (own) {
                m_former = valueOf(contract);
            } else if (auto error = version::findConflict(m_contract, valueOf(contract))) {
                return error;
            }
        }
        return std::nullopt;
    }

    std::optional<common::Error> announce()
    {
        if (!m_former) {
            return std::nullopt;
        }
        for (const auto &change : shareChanges(*m_former, m_contract)) {
            if (auto error = notify(change, NoticeStatus::Planned)) {
                withdrawNotices();
                error->message = "the change was refused: " + error->message;
                return error;
            }
            m_announced.push_back(change);
        }
        return std::nullopt;
    }

    std::optional<common::Error> notify(const ShareChange &change, NoticeStatus status)
    {
        return deliverNotice(m_context.store.context(), m_contract.customer, change,
                             m_context.options.author, status);
    }

    /// Tells the contact centre that announced changes were not made. Failures are left to the
    /// operator, who sees them on the progress output.
    void withdrawNotices()
    {
        for (const auto &change : m_announced) {
            if (const auto error = notify(change, NoticeStatus::Cancelled)) {
                m_context.progress("tell the contact centre that the change was not made: "
                                   + error->message);
            }
        }
    }

    CommandResult write()
    {
        const auto next = version::nextVersion(m_stored.value, m_toml, m_context.options.author,
                                               keptDrains());
        const auto outcome = m_context.store.write(m_key, m_stored.revision,
                                                   version::formatContractDocument(next));
        if (!isOk(outcome)) {
            // After an unknown outcome the change may be in force, so the notices stand.
            if (errorOf(outcome).code != "outcome_unknown") {
                withdrawNotices();
            }
            return failure(errorOf(outcome));
        }
        if (!valueOf(outcome).applied) {
            withdrawNotices();
            return lostRace(valueOf(outcome));
        }
        return finishChange(m_context, m_key, next.version,
                            "the contract of customer '" + m_contract.customer
                                    + "' is accepted as version " + std::to_string(next.version));
    }

    /// Drains of upstreams that the new contract still has.
    std::vector<std::string> keptDrains() const
    {
        auto drained = m_stored.value.drainedUpstreams;
        std::erase_if(drained, [this](const std::string &name) {
            return !std::ranges::any_of(m_contract.services, [&](const auto &service) {
                return std::ranges::any_of(service.groups, [&](const auto &group) {
                    return std::ranges::any_of(group.upstreams, [&](const auto &upstream) {
                        return service.name + "/" + upstream.name == name;
                    });
                });
            });
        });
        return drained;
    }

    CommandResult lostRace(const process::PutOutcome &outcome)
    {
        const auto present = outcome.current
                ? version::parseContractDocument(outcome.current->value)
                : common::Result<version::ContractDocument>(version::ContractDocument {});
        if (!isOk(present)) {
            return failure(errorOf(present));
        }
        auto result = conflict(valueOf(present));
        if (outcome.outcomeUnknown) {
            result.err += "banyanwallctl: an answer of the store was lost; see 'contract history "
                    + m_contract.customer + "' for whether this change was accepted before\n";
        }
        return result;
    }

    CommandResult conflict(const version::ContractDocument &present) const
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
    Stored<version::ContractDocument> m_stored;
    std::optional<version::Contract> m_former;
    std::vector<ShareChange> m_announced;
};

} // namespace

CommandResult editContract(CommandContext &context, const version::Contract &contract,
                           const std::string &toml, std::optional<std::uint64_t> base)
{
    return ContractEdit(context, contract, toml).run(base);
}

} // namespace banyanwall::ctl
