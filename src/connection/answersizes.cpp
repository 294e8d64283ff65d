#include "connection/answersizes.h"

namespace banyanwall::connection {

namespace {

constexpr double ShortPart = 0.5;
constexpr double Gain = 0.1;
// Routes whose answers have become short for good are known within some hundred answers; during a
// rush, errors must not become the usual answers.
constexpr double ShortGain = 0.002;

} // namespace

bool AnswerSizes::isShort(common::Endpoint route, std::uint32_t bytes)
{
    const auto size = static_cast<double>(bytes);
    const auto [usual, isNew] = m_usualBytes.try_emplace(route, size);
    const bool isShort = size < usual->second * ShortPart;
    usual->second += (size - usual->second) * (isShort ? ShortGain : Gain);
    return isShort;
}

} // namespace banyanwall::connection
