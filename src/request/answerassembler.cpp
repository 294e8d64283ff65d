#include "request/answerassembler.h"

#include "common/hash.h"
#include "request/coordinator.h"

#include <utility>

namespace banyanwall::request {

using common::Reason;

AnswerAssembler::Result AnswerAssembler::add(AnswerFragment fragment)
{
    if (fragment.count == 0 || fragment.index >= fragment.count) {
        return Rejected { Reason::MalformedPacket };
    }
    if (fragment.count > MaxFragments) {
        return Rejected { Reason::OversizedPacket };
    }
    if (m_parts.empty()) {
        m_parts.resize(fragment.count);
        m_present.resize(fragment.count);
        m_missing = fragment.count;
        m_checksum = fragment.checksum;
    }
    if (fragment.count != m_parts.size() || fragment.checksum != m_checksum) {
        return Rejected { Reason::ChecksumMismatch };
    }
    if (m_present[fragment.index]) {
        return Incomplete {};
    }
    m_bytes += fragment.payload.size();
    if (m_bytes > MaxBytes) {
        clear();
        return Rejected { Reason::OversizedPacket, true };
    }
    m_parts[fragment.index] = std::move(fragment.payload);
    m_present[fragment.index] = true;
    --m_missing;
    return m_missing == 0 ? complete() : Incomplete {};
}

AnswerAssembler::Result AnswerAssembler::complete()
{
    std::string payload;
    payload.reserve(m_bytes);
    for (const auto &part : m_parts) {
        payload += part;
    }
    const bool matches = common::hashBytes(payload) == m_checksum;
    clear();
    if (!matches) {
        return Rejected { Reason::ChecksumMismatch, true };
    }
    return Complete { std::move(payload) };
}

void AnswerAssembler::clear()
{
    m_parts.clear();
    m_present.clear();
    m_missing = 0;
    m_bytes = 0;
}

} // namespace banyanwall::request
