#include "request/answerassembler.h"
#include "common/hash.h"
#include "request/coordinator.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

using namespace banyanwall;
using common::Reason;
using request::AnswerAssembler;
using request::AnswerFragment;

namespace {

std::vector<AnswerFragment> fragmentsOf(const std::string &answer, std::uint32_t count)
{
    std::vector<AnswerFragment> fragments;
    const auto part = answer.size() / count;
    for (std::uint32_t index = 0; index < count; ++index) {
        const auto length = index + 1 == count ? std::string::npos : part;
        fragments.push_back({ common::RequestKey(1), common::AttemptNumber(1), index, count,
                              common::hashBytes(answer), answer.substr(index * part, length) });
    }
    return fragments;
}

bool isRejected(const AnswerAssembler::Result &result, Reason reason, bool isAnswerInvalid)
{
    const auto *rejected = std::get_if<AnswerAssembler::Rejected>(&result);
    return rejected != nullptr && rejected->reason == reason
            && rejected->isAnswerInvalid == isAnswerInvalid;
}

} // namespace

TEST_GROUP(AnswerAssembler)
{
    AnswerAssembler assembler;

    bool isIncomplete(const AnswerFragment &fragment)
    {
        return std::holds_alternative<AnswerAssembler::Incomplete>(assembler.add(fragment));
    }
};

// Guards against truncated or mixed answers when the fabric reorders and duplicates fragments.
TEST(AnswerAssembler, reorderedAndDuplicatedFragmentsGiveTheWholeAnswer)
{
    std::mt19937 random(9);
    for (std::uint32_t count = 1; count <= 60; ++count) {
        std::string answer(997, ' ');
        std::ranges::generate(answer, [&] { return static_cast<char>('a' + random() % 26); });
        auto fragments = fragmentsOf(answer, count);
        std::ranges::shuffle(fragments, random);
        for (std::size_t index = 0; index + 1 < fragments.size(); ++index) {
            CHECK_TRUE(isIncomplete(fragments[index]));
            CHECK_TRUE(isIncomplete(fragments[random() % (index + 1)]));
        }
        const auto result = assembler.add(fragments.back());
        const auto *complete = std::get_if<AnswerAssembler::Complete>(&result);
        CHECK_TRUE(complete != nullptr && complete->payload == answer);
    }
}

// Guards against an answer without content whose caller waits until the deadline because the answer
// is never complete.
TEST(AnswerAssembler, emptyAnswerIsComplete)
{
    CHECK_TRUE(std::holds_alternative<AnswerAssembler::Complete>(
            assembler.add(fragmentsOf("", 1)[0])));
}

// Guards against an answer that is assembled from fragments of two answers. A fragment with another
// checksum or number of fragments must be rejected, and the first answer must still complete.
TEST(AnswerAssembler, fragmentsOfAnotherAnswerAreRejected)
{
    const auto fragments = fragmentsOf("the first answer", 3);
    CHECK_TRUE(isIncomplete(fragments[0]));
    CHECK_TRUE(isRejected(assembler.add(fragmentsOf("the other answer", 3)[1]),
                          Reason::ChecksumMismatch, false));
    CHECK_TRUE(isRejected(assembler.add(fragmentsOf("the first answer", 4)[1]),
                          Reason::ChecksumMismatch, false));
    CHECK_TRUE(isIncomplete(fragments[1]));
    CHECK_TRUE(std::holds_alternative<AnswerAssembler::Complete>(assembler.add(fragments[2])));
}

// Guards against delivery of altered content: one bit of the payload changes on its way, and the
// checksum of the whole answer does not match.
TEST(AnswerAssembler, alteredContentInvalidatesTheAnswer)
{
    auto fragments = fragmentsOf("the answer", 2);
    fragments[1].payload.back() ^= 1;
    CHECK_TRUE(isIncomplete(fragments[0]));
    CHECK_TRUE(isRejected(assembler.add(fragments[1]), Reason::ChecksumMismatch, true));
    CHECK_TRUE(assembler.isEmpty());
}

// Guards against unbounded memory: a sender announces too many fragments or an index out of range,
// or sends fragments of more than MaxBytes in total.
TEST(AnswerAssembler, oversizedAndMalformedFragmentsAreRejected)
{
    auto fragment = fragmentsOf("x", 1)[0];
    fragment.count = AnswerAssembler::MaxFragments + 1;
    CHECK_TRUE(isRejected(assembler.add(fragment), Reason::OversizedPacket, false));
    fragment.count = 0;
    CHECK_TRUE(isRejected(assembler.add(fragment), Reason::MalformedPacket, false));
    fragment.count = 8;
    fragment.index = 8;
    CHECK_TRUE(isRejected(assembler.add(fragment), Reason::MalformedPacket, false));
    fragment.payload.assign(AnswerAssembler::MaxBytes / 4, 'x');
    for (fragment.index = 0; fragment.index < 4; ++fragment.index) {
        CHECK_TRUE(isIncomplete(fragment));
    }
    CHECK_TRUE(isRejected(assembler.add(fragment), Reason::OversizedPacket, true));
}
