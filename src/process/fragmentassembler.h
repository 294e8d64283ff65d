#pragma once

#include "common/endpoint.h"
#include "common/time.h"
#include "directory.pb.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyanwall::process {

/// Cuts bytes into messages that each fit into a datagram. transfer identifies the fragments that
/// belong together.
[[nodiscard]] std::vector<wire::proto::DirectoryMessage> cutIntoFragments(std::string_view bytes,
                                                                          std::uint32_t transfer);

/// Joins the fragments of transfers, which may arrive in any order. Drops a transfer that is not
/// complete 1 s after its first fragment. Not thread-safe.
class FragmentAssembler
{
public:
    /// Returns the bytes of the transfer when the fragment completes it. Ignores invalid fragments,
    /// duplicates, and new transfers while 16 transfers are incomplete.
    std::optional<std::string> add(const wire::proto::DirectoryFragment &fragment,
                                   common::TimePoint now);

private:
    struct Transfer
    {
        std::vector<std::optional<std::string>> parts;
        std::size_t missing = 0;
        common::TimePoint startedAt;
    };

    std::map<std::uint32_t, Transfer> m_transfers;
};

} // namespace banyanwall::process
