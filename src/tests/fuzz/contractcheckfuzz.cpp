// Fuzz target of the check of contracts. Guards against crashes, against output that a terminal or
// a JSON parser cannot take, and against a check that passes what the parser rejects. A zero byte
// separates the checked text from the contract in force.
#include "ctl/findingtext.h"
#include "tests/fuzz/fuzztarget.h"
#include "version/contractparser.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <cstdlib>
#include <string_view>

using namespace banyanwall;

namespace {

bool isPrintable(std::string_view text)
{
    return std::ranges::none_of(text, [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return c != '\n' && (byte < 0x20 || byte == 0x7f);
    });
}

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto separator = std::min(bytes.find('\0'), bytes.size());
    const auto text = bytes.substr(0, separator);
    ctl::ContractsInForce contracts;
    const auto inForce =
            version::parseContract(bytes.substr(std::min(separator + 1, bytes.size())), "in force");
    if (common::isOk(inForce)) {
        contracts.push_back({ common::valueOf(inForce), 7, { "records/r1" } });
    }
    const auto report = ctl::checkContractText(text, contracts);
    const bool isInvalid = std::ranges::any_of(report.findings, [](const auto &finding) {
        return std::holds_alternative<ctl::InvalidText>(finding.detail);
    });
    require(isInvalid != common::isOk(version::parseContract(text, "text")));
    require(isPrintable(ctl::renderText(report, "path")));
    const auto json = boost::json::parse(ctl::renderJson(report, "path"));
    require(json.at("findings").as_array().size() == report.findings.size());
    return 0;
}
