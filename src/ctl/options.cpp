#include "ctl/options.h"

#include <tclap/CmdLine.h>

#include <sstream>

namespace banyanwall::ctl {

namespace {

constexpr const char *Description = "Edits and shows the documents of banyanwall.\n"
                                    "\nCOMMANDS:\n\n"
                                    "   contract check FILE\n"
                                    "   contract apply FILE\n"
                                    "   contract show CUSTOMER [VERSION]\n"
                                    "   contract diff CUSTOMER FILE\n"
                                    "   contract diff CUSTOMER VERSION VERSION\n"
                                    "   contract explain FILE\n"
                                    "   contract history CUSTOMER\n"
                                    "   contract rollback CUSTOMER VERSION\n"
                                    "   zone withdraw ZONE\n"
                                    "   zone return ZONE\n"
                                    "   zone list\n"
                                    "   upstream drain CUSTOMER SERVICE/UPSTREAM\n"
                                    "   upstream return CUSTOMER SERVICE/UPSTREAM\n"
                                    "   upstream list CUSTOMER\n"
                                    "   status\n"
                                    "   instance list\n"
                                    "\nEXIT CODES:\n\n"
                                    "   0  ok\n"
                                    "   1  operation failed; contract check: warnings\n"
                                    "   2  usage or invalid input\n"
                                    "   3  conflict with another change; nothing was written\n"
                                    "   4  wait timed out or some instances unreachable\n"
                                    "   5  store unreachable";

constexpr const char *DefaultStore = "127.0.0.1:2379";
constexpr unsigned DefaultWaitSeconds = 30;

CommandResult usageError(const std::string &message)
{
    return failure({ "invalid_input", message + " (see --help)" });
}

/// Collects the output of TCLAP in a string instead of writing it to standard output.
class StringOutput : public TCLAP::StdOutput
{
public:
    void usage(TCLAP::CmdLineInterface &commandLine) override
    {
        text << Description << "\n\nUSAGE:\n\n";
        _shortUsage(commandLine, text);
        text << "\n\nWhere:\n\n";
        _longUsage(commandLine, text);
    }

    void version(TCLAP::CmdLineInterface &commandLine) override
    {
        text << commandLine.getProgramName() << " " << commandLine.getVersion() << "\n";
    }

    std::ostringstream text;
};

std::variant<Options, CommandResult> withStoreEndpoints(const std::vector<std::string> &stores,
                                                        Options options)
{
    for (const auto &store : stores) {
        const auto endpoint = common::parseEndpoint(store);
        if (!endpoint) {
            return usageError("--store must be an IPv4 address and port such as \""
                              + std::string(DefaultStore) + "\", is '" + store + "'");
        }
        options.stores.push_back(*endpoint);
    }
    if (options.stores.empty()) {
        options.stores.push_back(*common::parseEndpoint(DefaultStore));
    }
    return options;
}

} // namespace

std::variant<Options, CommandResult> parseOptions(std::vector<std::string> arguments,
                                                  const std::string &user)
{
    // StringOutput prints the description, because TCLAP would wrap its lines.
    TCLAP::CmdLine commandLine("", ' ', "0.1.0");
    StringOutput output;
    commandLine.setOutput(&output);
    commandLine.setExceptionHandling(false);
    std::vector<std::string> formats { "table", "json" };
    TCLAP::ValuesConstraint<std::string> formatConstraint(formats);
    TCLAP::MultiArg<std::string> stores("", "store", "Address of the store; repeatable.", false,
                                        "ip:port", commandLine);
    TCLAP::ValueArg<std::string> format("", "output", "Form of the output.", false, "table",
                                        &formatConstraint, commandLine);
    TCLAP::SwitchArg shouldWait("", "wait", "Wait until the change is in force on every instance.",
                                commandLine);
    TCLAP::ValueArg<unsigned> waitLimit("", "wait-limit", "Longest wait in seconds, default 30.",
                                        false, DefaultWaitSeconds, "seconds", commandLine);
    TCLAP::ValueArg<std::string> author("", "author", "Name kept in the history.", false, user,
                                        "name", commandLine);
    TCLAP::ValueArg<std::uint64_t> baseVersion(
            "", "base",
            "Version that the edited contract is based on; another "
            "present version is a conflict.",
            false, 0, "version", commandLine);
    TCLAP::MultiArg<std::string> references(
            "", "against",
            "Contract in force that 'contract check' compares with: a file, or "
            "'store' for all contracts of the store; repeatable.",
            false, "file|store", commandLine);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "Command and its arguments.", true,
                                                "words", commandLine);
    try {
        commandLine.parse(arguments);
    } catch (const TCLAP::ArgException &error) {
        return usageError(error.error() + " " + error.argId());
    } catch (const TCLAP::ExitException &) {
        return CommandResult { ExitCode::Ok, output.text.str(), "" };
    }
    Options options;
    options.format = format.getValue() == "json" ? Format::Json : Format::Table;
    options.shouldWait = shouldWait.getValue();
    options.waitLimit = std::chrono::seconds(waitLimit.getValue());
    options.author = author.getValue();
    options.baseVersion =
            baseVersion.isSet() ? std::optional(baseVersion.getValue()) : std::nullopt;
    options.references = references.getValue();
    options.words = words.getValue();
    return withStoreEndpoints(stores.getValue(), std::move(options));
}

} // namespace banyanwall::ctl
