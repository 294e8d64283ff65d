#include "ctl/contractfile.h"

#include "version/contractparser.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>

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

common::Result<std::string> readText(const std::string &path)
{
    std::ifstream file;
    if (path != "-") {
        file.open(path, std::ios::binary);
        if (!file) {
            return common::Error { "invalid_input", "the file '" + path + "' cannot be read" };
        }
    }
    std::istream &input = path == "-" ? std::cin : file;
    std::string text(version::MaximumContractBytes + 1, '\0');
    input.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (input.bad()) {
        return common::Error { "invalid_input", "the file '" + path + "' cannot be read" };
    }
    text.resize(static_cast<std::size_t>(input.gcount()));
    if (text.size() > version::MaximumContractBytes) {
        return common::Error { "invalid_input",
                               "the file '" + path + "' is too large, a contract has at most "
                                       + std::to_string(version::MaximumContractBytes) + " bytes" };
    }
    return text;
}

common::Result<ContractFile> readContractFile(const std::string &path)
{
    const auto text = readText(path);
    if (!common::isOk(text)) {
        return common::errorOf(text);
    }
    return parseContractFile(common::valueOf(text), path);
}

} // namespace banyanwall::ctl
