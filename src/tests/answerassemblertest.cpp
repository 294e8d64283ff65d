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

std::vector<AnswerFragment> cut(const std::string &answer, std::uint32_t count)
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

bool isRejected(const AnswerAssembler::Result &result, Reason reason, bool broken)
{
    const auto *rejected = std::get_if<AnswerAssembler::Rejected>(&result);
    return rejected != nullptr && rejected->reason == reason && rejected->broken == broken;
}

} // namespace

TEST_GROUP(AnswerAssembler)
{
    AnswerAssembler assembler;

    bool isPending(const AnswerFragment &fragment)
    {
        return std::holds_alternative<AnswerAssembler::Incomplete>(assembler.add(fragment));
    }
};

// Guards against cut or jumbled answers when the fabric reorders and duplicates fragments (P5).
TEST(AnswerAssembler, anyOrderWithDuplicatesGivesTheWholeAnswer)
{
    std::mt19937 random(9);
    for (std::uint32_t count = 1; count <= 60; ++count) {
        std::string answer(997, ' ');
        std::ranges::generate(answer, [&] { return static_cast<char>('a' + random() % 26); });
        auto fragments = cut(answer, count);
        std::ranges::shuffle(fragments, random);
        for (std::size_t index = 0; index + 1 < fragments.size(); ++index) {
            CHECK_TRUE(isPending(fragments[index]));
            CHECK_TRUE(isPending(fragments[random() % (index + 1)]));
        }
        const auto result = assembler.add(fragments.back());
        const auto *complete = std::get_if<AnswerAssembler::Complete>(&result);
        CHECK_TRUE(complete != nullptr && complete->payload == answer);
    }
}

// Guards against an answer without content that never completes.
TEST(AnswerAssembler, emptyAnswerIsComplete)
{
    CHECK_TRUE(std::holds_alternative<AnswerAssembler::Complete>(assembler.add(cut("", 1)[0])));
}

// Guards against one answer made of two.
TEST(AnswerAssembler, fragmentsOfAnotherAnswerAreRejected)
{
    const auto mine = cut("the first answer", 3);
    CHECK_TRUE(isPending(mine[0]));
    CHECK_TRUE(isRejected(assembler.add(cut("the other answer", 3)[1]), Reason::ChecksumMismatch,
                          false));
    CHECK_TRUE(isRejected(assembler.add(cut("the first answer", 4)[1]), Reason::ChecksumMismatch,
                          false));
    CHECK_TRUE(isPending(mine[1]));
    CHECK_TRUE(std::holds_alternative<AnswerAssembler::Complete>(assembler.add(mine[2])));
}

// Guards against delivering altered content.
TEST(AnswerAssembler, alteredContentBreaksTheAnswer)
{
    auto fragments = cut("the answer", 2);
    fragments[1].payload.back() ^= 1;
    CHECK_TRUE(isPending(fragments[0]));
    CHECK_TRUE(isRejected(assembler.add(fragments[1]), Reason::ChecksumMismatch, true));
    CHECK_TRUE(assembler.isEmpty());
}

// Guards against memory that a sender of fragments can take without bound.
TEST(AnswerAssembler, sizeIsBounded)
{
    auto fragment = cut("x", 1)[0];
    fragment.count = AnswerAssembler::MaxFragments + 1;
    CHECK_TRUE(isRejected(assembler.add(fragment), Reason::OversizedPacket, false));
    fragment.count = 0;
    CHECK_TRUE(isRejected(assembler.add(fragment), Reason::MalformedPacket, false));
    fragment.count = 8;
    fragment.index = 8;
    CHECK_TRUE(isRejected(assembler.add(fragment), Reason::MalformedPacket, false));
    fragment.payload.assign(AnswerAssembler::MaxBytes / 4, 'x');
    for (fragment.index = 0; fragment.index < 4; ++fragment.index) {
        CHECK_TRUE(isPending(fragment));
    }
    CHECK_TRUE(isRejected(assembler.add(fragment), Reason::OversizedPacket, true));
}
