#include "ctl/contractfile.h"

#include "version/contractparser.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <regex>

namespace banyanwall::ctl {

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
    return "# contract of " + customer + ", version " + std::to_string(version) + "\n" + toml;
}

common::Result<ContractFile> parseContractFile(const std::string &text, const std::string &path)
{
    auto contract = version::parseContract(text, path);
    if (!common::isOk(contract)) {
        return common::errorOf(contract);
    }
    ContractFile file { common::valueOf(std::move(contract)), text, std::nullopt };
    const auto line = text.substr(0, text.find('\n'));
    static const std::regex header("# contract of ([a-z0-9-]+), version ([0-9]+)");
    std::smatch match;
    if (std::regex_match(line, match, header) && match[1] == file.contract.customer) {
        file.baseVersion = parseVersion(match[2].str());
        file.toml = text.substr(std::min(line.size() + 1, text.size()));
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
