#pragma once

#include "connection/flowrouter.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <mutex>
#include <vector>

namespace banyanwall::connection {

/// Records that could not reach the other owner with their packet, because it had come over too
/// many relays; they follow with the next handover. Thread-safe.
class LateRecords
{
public:
    /// Further records are dropped; the next refresh of the flow replaces them.
    static constexpr std::size_t MaxRecords = 65'536;

    void push(OverrideBatch batch)
    {
        const std::scoped_lock lock(m_mutex);
        if (m_batches.size() < MaxRecords) {
            m_batches.push_back(std::move(batch));
        }
    }

    /// Takes out at most maxRecords, oldest first.
    [[nodiscard]] std::vector<OverrideBatch> take(std::size_t maxRecords)
    {
        const std::scoped_lock lock(m_mutex);
        const auto count = static_cast<std::ptrdiff_t>(std::min(maxRecords, m_batches.size()));
        std::vector<OverrideBatch> taken(std::make_move_iterator(m_batches.begin()),
                                         std::make_move_iterator(m_batches.begin() + count));
        m_batches.erase(m_batches.begin(), m_batches.begin() + count);
        return taken;
    }

private:
    std::mutex m_mutex;
    std::vector<OverrideBatch> m_batches;
};

} // namespace banyanwall::connection
