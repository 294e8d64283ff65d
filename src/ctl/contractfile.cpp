#include "ctl/contractfile.h"

#include "version/contractparser.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>

namespace banyanwall::ctl {

namespace {

std::string headerStart(const std::string &customer)
{
    return "# contract of " + customer + ", version ";
}

} // namespace

std::optional<std::uint64_t> parseVersion(std::string_view text)
{
    std::uint64_t version = 0;
    const auto *last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, version);
    return parsed.ec == std::errc() && parsed.ptr == last && version > 0 ? std::optional(version)
                                                                         : std::nullopt;
}

std::string withHeader(const std::string &customer, std::uint64_t version, const std::string &toml)
{
    return headerStart(customer) + std::to_string(version) + "\n" + toml;
}

std::optional<std::uint64_t> baseVersionOf(std::string_view text, const std::string &customer)
{
    const auto line = text.substr(0, text.find('\n'));
    const auto start = headerStart(customer);
    return line.starts_with(start) ? parseVersion(line.substr(start.size())) : std::nullopt;
}

common::Result<ContractFile> parseContractFile(const std::string &text, const std::string &path)
{
    auto contract = version::parseContract(text, path);
    if (!common::isOk(contract)) {
        return common::errorOf(contract);
    }
    ContractFile file { common::valueOf(std::move(contract)), text, std::nullopt };
    file.baseVersion = baseVersionOf(text, file.contract.customer);
    if (file.baseVersion) {
        file.toml = text.substr(std::min(text.find('\n'), text.size() - 1) + 1);
    }
    return file;
}

common::Result<ContractFile> readContractFile(const std::string &path)
{
    std::ifstream file;
    if (path != "-") {
        file.open(path, std::ios::binary);
        if (!file) {
            return common::Error { "invalid_input", "the file '" + path + "' cannot be read" };
        }
    }
    std::istream &input = path == "-" ? std::cin : file;
    const std::string text { std::istreambuf_iterator<char>(input), {} };
    return parseContractFile(text, path);
}

} // namespace banyanwall::ctl
