#include "process/settings.h"

#include "process/settingsreader.h"

namespace banyanwall::process {

namespace {

constexpr std::int64_t MaxWorkers = 64;

const KnownKeys Keys {
    { "instance", { "name", "zone" } },
    { "listen", { "fabric", "peer", "admin", "upstream" } },
    { "fabric", { "address" } },
    { "store", { "endpoints" } },
    { "peers", { "seeds", "keys", "signing_key" } },
    { "log", { "level" } },
    { "workers", { "count" } },
};

void readPeers(SettingsReader &reader, Settings &settings)
{
    settings.seeds = reader.endpoints("peers", "seeds", false);
    settings.keys = reader.secrets("peers", "keys");
    const auto signing = reader.integer("peers", "signing_key", 1, UINT32_MAX, true);
    settings.signingKey = static_cast<std::uint32_t>(signing.value_or(0));
    if (!settings.keys.contains(settings.signingKey)) {
        reader.fail(reader.lineOf("peers", "signing_key"), "peers.signing_key", "unknown key id",
                    "an id listed in peers.keys");
    }
}

} // namespace

common::Result<Settings> parseSettings(std::string_view toml, std::string_view sourceName)
{
    const auto root = parseToml(toml, sourceName);
    if (!common::isOk(root)) {
        return common::errorOf(root);
    }
    SettingsReader reader(common::valueOf(root), sourceName);
    Settings settings;
    reader.checkKeys(Keys);
    settings.name = reader.string("instance", "name", "a name");
    settings.zone = reader.string("instance", "zone", "the name of an availability zone");
    settings.fabricListen = reader.endpoint("listen", "fabric");
    settings.peerListen = reader.endpoint("listen", "peer");
    settings.adminListen = reader.endpoint("listen", "admin");
    settings.upstreamListen = reader.endpoint("listen", "upstream");
    settings.fabric = reader.endpoint("fabric", "address");
    settings.storeEndpoints = reader.endpoints("store", "endpoints", true);
    readPeers(reader, settings);
    settings.logLevel = reader.logLevel(settings.logLevel);
    const auto workers = reader.integer("workers", "count", 1, MaxWorkers, false);
    settings.workers = static_cast<std::uint32_t>(workers.value_or(settings.workers));
    if (reader.error()) {
        return *reader.error();
    }
    return settings;
}

common::Result<Settings> loadSettings(const std::string &path)
{
    const auto text = readSettingsFile(path);
    if (!common::isOk(text)) {
        return common::errorOf(text);
    }
    return parseSettings(common::valueOf(text), path);
}

} // namespace banyanwall::process
