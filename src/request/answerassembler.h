#pragma once

#include "common/reason.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace banyanwall::request {

/// One fragment of an upstream's answer.
struct AnswerFragment;

/// Puts the fragments of one attempt together, in any order and with duplicates.
///
/// The first fragment fixes count and checksum; fragments that disagree with it are rejected, so
/// that answers of different attempts or requests never mix.
class AnswerAssembler
{
public:
    /// Bounds the memory that one answer takes in this process.
    static constexpr std::size_t MaxBytes = 4U << 20U;
    static constexpr std::uint32_t MaxFragments = 8'192;

    struct Incomplete
    { };

    struct Complete
    {
        std::string payload;
    };

    /// The fragment was dropped. When broken is set, the whole answer is: its checksum does not
    /// match its content, or it exceeds MaxBytes.
    struct Rejected
    {
        common::Reason reason;
        bool broken = false;
    };

    using Result = std::variant<Incomplete, Complete, Rejected>;

    /// Takes a fragment; after Complete or a broken answer the assembler is empty again.
    [[nodiscard]] Result add(AnswerFragment fragment);

    /// No fragment has been taken.
    [[nodiscard]] bool isEmpty() const { return m_parts.empty(); }

private:
    [[nodiscard]] Result complete();
    void clear();

    std::vector<std::string> m_parts;
    std::vector<bool> m_present;
    std::uint32_t m_missing = 0;
    std::uint64_t m_checksum = 0;
    std::size_t m_bytes = 0;
};

} // namespace banyanwall::request
