#include "tools/workload.h"

#include "common/hash.h"

#include <charconv>

namespace banyanwall::tools {

namespace {

constexpr char Separator = '|';
/// Limits the memory that an upstream uses for the answer to one request.
constexpr std::size_t MaxAnswerBytes = 1 << 20;

} // namespace

std::string encodeRequest(const RequestPayload &request)
{
    return request.service + Separator + std::to_string(request.answerBytes);
}

std::optional<RequestPayload> decodeRequest(std::string_view payload)
{
    const auto separator = payload.rfind(Separator);
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    RequestPayload request { std::string(payload.substr(0, separator)), 0 };
    const auto digits = payload.substr(separator + 1);
    const auto parsed =
            std::from_chars(digits.data(), digits.data() + digits.size(), request.answerBytes);
    if (parsed.ec != std::errc() || request.answerBytes > MaxAnswerBytes) {
        return std::nullopt;
    }
    return request;
}

std::string expectedAnswer(std::string_view service, std::uint64_t requestId, std::size_t bytes)
{
    std::string answer;
    answer.reserve(bytes + sizeof(std::uint64_t));
    const auto seed = common::hashBytes(service, requestId);
    for (std::uint64_t block = 0; answer.size() < bytes; ++block) {
        const auto word = common::hashPair(seed, block);
        answer.append(reinterpret_cast<const char *>(&word), sizeof word);
    }
    answer.resize(bytes);
    return answer;
}

std::string encodeEcho(std::string_view upstream, std::string_view payload)
{
    std::string echo(upstream);
    echo += Separator;
    echo += payload;
    return echo;
}

std::optional<Echo> decodeEcho(std::string_view bytes)
{
    const auto separator = bytes.find(Separator);
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    return Echo { bytes.substr(0, separator), bytes.substr(separator + 1) };
}

} // namespace banyanwall::tools
