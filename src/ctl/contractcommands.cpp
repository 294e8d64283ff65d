#include "ctl/command.h"
#include "ctl/contractedit.h"
#include "ctl/contractfile.h"
#include "ctl/storedcontract.h"
#include "ctl/textdiff.h"
#include "version/contractparser.h"
#include "version/limits.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace banyanwall::ctl {

namespace json = boost::json;
using common::errorOf;
using common::isOk;
using common::valueOf;

namespace {

common::Result<version::ContractVersion> findVersion(const version::ContractDocument &document,
                                                     const std::string &customer,
                                                     const std::string &number)
{
    const auto version = parseVersion(number);
    if (!version) {
        return common::Error { "invalid_input",
                               "a version must be an integer above 0, is '" + number + "'" };
    }
    const auto found =
            std::ranges::find(document.history, *version, &version::ContractVersion::version);
    if (found == document.history.end()) {
        return common::Error {
            "not_found", "customer '" + customer + "' has no version " + number + " in its history"
        };
    }
    return *found;
}

CommandResult renderVersion(CommandContext &context, const std::string &customer,
                            const version::ContractVersion &version)
{
    const json::object data { { "customer", customer },
                              { "version", version.version },
                              { "author", version.author },
                              { "toml", version.toml },
                              { "drained_upstreams",
                                json::array(version.drainedUpstreams.begin(),
                                            version.drainedUpstreams.end()) } };
    auto text = withHeader(customer, version.version, version.toml);
    if (text.ends_with('\n')) {
        text.pop_back();
    }
    return { ExitCode::Ok, render(text, data, context.options.format), "" };
}

} // namespace

CommandResult applyContract(CommandContext &context, const Arguments &arguments)
{
    const auto file = readContractFile(arguments.at(0));
    if (!isOk(file)) {
        return failure(errorOf(file));
    }
    const auto &contractFile = valueOf(file);
    return editContract(context, contractFile.contract, contractFile.toml,
                        context.options.baseVersion ? context.options.baseVersion
                                                    : contractFile.baseVersion);
}

CommandResult rollBackContract(CommandContext &context, const Arguments &arguments)
{
    const auto &customer = arguments.at(0);
    const auto document = loadDocument(context, customer);
    if (!isOk(document)) {
        return failure(errorOf(document));
    }
    const auto target = findVersion(valueOf(document).value, customer, arguments.at(1));
    if (!isOk(target)) {
        return failure(errorOf(target));
    }
    const auto &toml = valueOf(target).toml;
    const auto contract = version::parseContract(toml, customer + " version " + arguments.at(1));
    if (!isOk(contract)) {
        return failure(errorOf(contract));
    }
    return editContract(context, valueOf(contract), toml, valueOf(document).value.version);
}

CommandResult showContract(CommandContext &context, const Arguments &arguments)
{
    const auto &customer = arguments.at(0);
    const auto document = loadDocument(context, customer);
    if (!isOk(document)) {
        return failure(errorOf(document));
    }
    const auto number = arguments.size() > 1 ? arguments.at(1)
                                             : std::to_string(valueOf(document).value.version);
    const auto version = findVersion(valueOf(document).value, customer, number);
    return isOk(version) ? renderVersion(context, customer, valueOf(version))
                         : failure(errorOf(version));
}

CommandResult diffContract(CommandContext &context, const Arguments &arguments)
{
    const auto &customer = arguments.at(0);
    const auto document = loadDocument(context, customer);
    if (!isOk(document)) {
        return failure(errorOf(document));
    }
    std::string former = valueOf(document).value.toml;
    std::string next;
    if (arguments.size() == 2) {
        const auto file = readContractFile(arguments.at(1));
        if (!isOk(file)) {
            return failure(errorOf(file));
        }
        next = valueOf(file).toml;
    } else {
        const auto first = findVersion(valueOf(document).value, customer, arguments.at(1));
        const auto second = findVersion(valueOf(document).value, customer, arguments.at(2));
        if (!isOk(first) || !isOk(second)) {
            return failure(errorOf(isOk(first) ? second : first));
        }
        former = valueOf(first).toml;
        next = valueOf(second).toml;
    }
    auto diff = diffLines(former, next);
    const json::object data { { "equal", diff.empty() }, { "diff", diff } };
    if (context.options.format == Format::Json) {
        return { ExitCode::Ok, render("", data, Format::Json), "" };
    }
    return { ExitCode::Ok, diff.empty() ? "no difference\n" : diff, "" };
}

CommandResult explainContract(CommandContext &context, const Arguments &arguments)
{
    const auto file = readContractFile(arguments.at(0));
    if (!isOk(file)) {
        return failure(errorOf(file));
    }
    Table table { { "service", "limit", "value", "clause", "explanation" }, {} };
    for (const auto &service : version::deriveLimits(valueOf(file).contract)) {
        for (const auto &limit : service.limits) {
            table.rows.push_back({ json::string(service.service), json::string(limit.name),
                                   limit.value, json::string(limit.clause),
                                   json::string(limit.explanation) });
        }
    }
    return { ExitCode::Ok, render(table, context.options.format), "" };
}

CommandResult contractHistory(CommandContext &context, const Arguments &arguments)
{
    const auto document = loadDocument(context, arguments.at(0));
    if (!isOk(document)) {
        return failure(errorOf(document));
    }
    Table table { { "version", "author", "drained_upstreams", "changed_lines" }, {} };
    std::string previousToml;
    for (const auto &entry : valueOf(document).value.history) {
        // diffLines() marks changed lines with "-" or "+" as their first character.
        const auto markedDiff = "\n" + diffLines(previousToml, entry.toml);
        std::uint64_t changed = 0;
        for (auto lineEnd = markedDiff.find('\n'); lineEnd + 1 < markedDiff.size();
             lineEnd = markedDiff.find('\n', lineEnd + 1)) {
            changed += markedDiff[lineEnd + 1] == '-' || markedDiff[lineEnd + 1] == '+' ? 1 : 0;
        }
        table.rows.push_back({ entry.version, json::string(entry.author),
                               entry.drainedUpstreams.size(), changed });
        previousToml = entry.toml;
    }
    return { ExitCode::Ok, render(table, context.options.format), "" };
}

} // namespace banyanwall::ctl
