#include "process/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace banyanwall::process {

std::string encodeBase64(std::string_view bytes)
{
    // EVP_EncodeBlock appends a terminating zero byte.
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                        reinterpret_cast<const unsigned char *>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    constexpr std::string_view alphabet =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    const auto digits = std::min(text.find_first_not_of(alphabet), text.size());
    const auto padding = text.size() - digits;
    // EVP_DecodeBlock by itself accepts white space and any number of padding characters.
    if (text.size() % 4 != 0 || padding > 2
        || text.find_first_not_of('=', digits) != std::string_view::npos) {
        return std::nullopt;
    }
    std::string bytes(3 * text.size() / 4, '\0');
    EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                    reinterpret_cast<const unsigned char *>(text.data()),
                    static_cast<int>(text.size()));
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace banyanwall::process
