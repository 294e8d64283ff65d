#include "ctl/command.h"
#include "ctl/contractcheck.h"
#include "ctl/contractfile.h"
#include "ctl/findingtext.h"
#include "ctl/storedcontract.h"

#include <algorithm>

namespace banyanwall::ctl {

using common::errorOf;
using common::isOk;
using common::valueOf;

namespace {

/// Value of --against that names the store.
constexpr std::string_view StoreReference = "store";

/// Reads the contracts that --against names.
class ReferenceReader
{
public:
    explicit ReferenceReader(CommandContext &context)
        : m_context(context)
    { }

    common::Result<ContractsInForce> read()
    {
        for (const auto &reference : m_context.options.references) {
            if (const auto error =
                        reference == StoreReference ? readStore() : readFile(reference)) {
                return *error;
            }
        }
        return std::move(m_contracts);
    }

private:
    std::optional<common::Error> readFile(const std::string &path)
    {
        const auto file = readContractFile(path);
        if (!isOk(file)) {
            return errorOf(file);
        }
        return add({ valueOf(file).contract, valueOf(file).baseVersion, {} });
    }

    std::optional<common::Error> readStore()
    {
        const auto contracts = loadContracts(m_context);
        if (!isOk(contracts)) {
            return errorOf(contracts);
        }
        for (const auto &[document, contract] : valueOf(contracts)) {
            auto error = contract
                    ? add({ *contract, document.value.version, document.value.drainedUpstreams })
                    : std::nullopt;
            if (error) {
                return error;
            }
        }
        return std::nullopt;
    }

    std::optional<common::Error> add(ContractInForce contract)
    {
        const auto &customer = contract.contract.customer;
        const bool isKnown = std::ranges::any_of(m_contracts, [&](const auto &known) {
            return known.contract.customer == customer;
        });
        if (isKnown) {
            return common::Error { "invalid_input",
                                   "--against names two contracts of customer '" + customer + "'" };
        }
        m_contracts.push_back(std::move(contract));
        return std::nullopt;
    }

    CommandContext &m_context;
    ContractsInForce m_contracts;
};

ExitCode exitCodeOf(const CheckReport &report)
{
    if (report.count(Severity::Error) > 0) {
        return ExitCode::Invalid;
    }
    return report.count(Severity::Warning) > 0 ? ExitCode::Warnings : ExitCode::Ok;
}

} // namespace

CommandResult checkContract(CommandContext &context, const Arguments &arguments)
{
    const auto &path = arguments.at(0);
    const auto text = readText(path);
    if (!isOk(text)) {
        return failure(errorOf(text));
    }
    const auto contracts = ReferenceReader(context).read();
    if (!isOk(contracts)) {
        return failure(errorOf(contracts));
    }
    const auto report = checkContractText(valueOf(text), valueOf(contracts));
    return { exitCodeOf(report),
             context.options.format == Format::Json ? renderJson(report, path)
                                                    : renderText(report, path),
             "" };
}

} // namespace banyanwall::ctl
