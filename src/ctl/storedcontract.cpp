#include "ctl/storedcontract.h"

#include "version/contractparser.h"

namespace banyanwall::ctl {

using common::errorOf;
using common::isOk;
using common::valueOf;

common::Result<std::vector<StoredContract>> loadContracts(CommandContext &context)
{
    const auto documents = context.store.contracts();
    if (!isOk(documents)) {
        return errorOf(documents);
    }
    std::vector<StoredContract> contracts;
    for (const auto &document : valueOf(documents)) {
        auto contract = version::parseContract(document.value.toml, document.key);
        if (!isOk(contract)) {
            context.progress("this stored contract is skipped in all checks: "
                             + errorOf(contract).message);
            contracts.push_back({ document, std::nullopt });
        } else {
            contracts.push_back({ document, valueOf(std::move(contract)) });
        }
    }
    return contracts;
}

common::Result<StoredDocument<version::ContractDocument>> loadDocument(CommandContext &context,
                                                                       const std::string &customer)
{
    auto stored = context.store.contract(customer);
    if (isOk(stored) && valueOf(stored).revision == 0) {
        return common::Error { "not_found", "customer '" + customer + "' has no contract" };
    }
    return stored;
}

} // namespace banyanwall::ctl
