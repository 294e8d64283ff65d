#pragma once

#include "common/reason.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace banyanwall::request {

struct AnswerFragment;

/// Assembles the answer of one attempt from its fragments, which may arrive in any order and more
/// than once.
///
/// The first fragment sets the number of fragments and the checksum. Fragments with other values
/// are rejected, so that answers of different attempts or requests never mix.
class AnswerAssembler
{
public:
    /// Payload bytes. Limits the memory that one answer takes in this process.
    static constexpr std::size_t MaxBytes = 4U << 20U;
    static constexpr std::uint32_t MaxFragments = 8'192;

    struct Incomplete
    { };

    struct Complete
    {
        std::string payload;
    };

    /// The fragment was dropped. isAnswerInvalid is set when the whole answer is unusable: its
    /// content does not match the checksum, or it exceeds MaxBytes.
    struct Rejected
    {
        common::Reason reason;
        bool isAnswerInvalid = false;
    };

    using Result = std::variant<Incomplete, Complete, Rejected>;

    /// After Complete, or Rejected with isAnswerInvalid, the assembler is empty again.
    [[nodiscard]] Result add(AnswerFragment fragment);

    /// Whether no fragment has been accepted.
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
