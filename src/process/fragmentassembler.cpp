#include "process/fragmentassembler.h"

#include <algorithm>

namespace banyanwall::process {

namespace {

// Together with its headers, a datagram stays below the usual MTU of 1,500 bytes.
constexpr std::size_t FragmentBytes = 1'200;
// Limits a transfer to 4 MB, about ten times the whole directory at the target size.
constexpr std::uint32_t MaxFragments = 3'500;
constexpr std::size_t MaxTransfers = 16;
constexpr std::chrono::seconds TransferTimeout { 1 };

} // namespace

std::vector<wire::proto::DirectoryMessage> cutIntoFragments(std::string_view bytes,
                                                            std::uint32_t transfer)
{
    const auto count = std::max<std::size_t>(1, (bytes.size() + FragmentBytes - 1) / FragmentBytes);
    std::vector<wire::proto::DirectoryMessage> messages(count);
    for (std::size_t index = 0; index < count; ++index) {
        auto &fragment = *messages[index].mutable_fragment();
        fragment.set_transfer(transfer);
        fragment.set_index(static_cast<std::uint32_t>(index));
        fragment.set_count(static_cast<std::uint32_t>(count));
        const auto part = bytes.substr(index * FragmentBytes, FragmentBytes);
        fragment.set_bytes(part.data(), part.size());
    }
    return messages;
}

std::optional<std::string> FragmentAssembler::add(const wire::proto::DirectoryFragment &fragment,
                                                  common::TimePoint now)
{
    std::erase_if(m_transfers,
                  [&](const auto &item) { return now - item.second.startedAt > TransferTimeout; });
    const bool isValid = fragment.count() > 0 && fragment.count() <= MaxFragments
            && fragment.index() < fragment.count();
    if (!isValid) {
        return std::nullopt;
    }
    if (m_transfers.size() >= MaxTransfers && !m_transfers.contains(fragment.transfer())) {
        return std::nullopt;
    }
    auto &transfer = m_transfers[fragment.transfer()];
    if (transfer.parts.empty()) {
        transfer = { std::vector<std::optional<std::string>>(fragment.count()), fragment.count(),
                     now };
    }
    if (transfer.parts.size() != fragment.count() || transfer.parts[fragment.index()]) {
        return std::nullopt;
    }
    transfer.parts[fragment.index()] = fragment.bytes();
    if (--transfer.missing > 0) {
        return std::nullopt;
    }
    std::string whole;
    std::ranges::for_each(transfer.parts, [&whole](const auto &part) { whole += *part; });
    m_transfers.erase(fragment.transfer());
    return whole;
}

} // namespace banyanwall::process
