#pragma once

#include "connection/flowrouter.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <mutex>
#include <vector>

namespace banyanwall::connection {

/// Batches that are sent with the next handover: records that could not be relayed with their
/// packet, because it had reached the hop limit, and confirmations of requested handovers.
/// Thread-safe.
class DeferredBatches
{
public:
    /// Further batches are dropped; the next refresh of the flow sends its record again.
    static constexpr std::size_t MaxBatches = 65'536;

    void push(OverrideBatch batch)
    {
        const std::scoped_lock lock(m_mutex);
        if (m_batches.size() < MaxBatches) {
            m_batches.push_back(std::move(batch));
        }
    }

    /// Removes and returns at most maxBatches, oldest first.
    [[nodiscard]] std::vector<OverrideBatch> take(std::size_t maxBatches)
    {
        const std::scoped_lock lock(m_mutex);
        const auto count = static_cast<std::ptrdiff_t>(std::min(maxBatches, m_batches.size()));
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
