#pragma once

#include "process/directorysync.h"
#include "version/directory.h"

#include <chrono>
#include <functional>

namespace banyanwall::process {

/// The platform's store as the source of the directory. Each call returns at once; its
/// handler is called later from the io_context, once with the result. A read may call its handler
/// with StoreProgress before.
class FleetStore
{
public:
    using AnswerHandler = std::function<void(StoreAnswer)>;
    using WriteHandler = std::function<void(bool isAccepted)>;

    virtual ~FleetStore() = default;
    /// Reads all entries; the delta of the update is complete and of one era.
    virtual void readAll(AnswerHandler handler) = 0;
    /// Waits for changes after a position. Without changes, an empty answer arrives after wait. The
    /// answer is EraBegan when the store is in a later era.
    virtual void watch(version::StorePosition after, std::chrono::milliseconds wait,
                       AnswerHandler handler) = 0;
    /// Writes the entry of an instance, unless it exists.
    virtual void registerMember(const version::MemberRecord &member, WriteHandler handler) = 0;
    /// Removes the entry of an instance, unless it has changed since the position. Not sent if the
    /// store is known to be in a later era, in which the revision names another write.
    virtual void removeMember(const version::MemberRecord &member, version::StorePosition position,
                              WriteHandler handler) = 0;
};

} // namespace banyanwall::process
