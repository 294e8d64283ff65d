#include "common/reason.h"

namespace banyanwall::common {

std::string_view toString(Reason reason) // NOLINT(readability-function-size): one line a reason
{
    switch (reason) {
    case Reason::MalformedPacket:
        return "malformed_packet";
    case Reason::OversizedPacket:
        return "oversized_packet";
    case Reason::UnsupportedVersion:
        return "unsupported_version";
    case Reason::UnknownService:
        return "unknown_service";
    case Reason::HopLimit:
        return "hop_limit";
    case Reason::NoUpstream:
        return "no_upstream";
    case Reason::NoRoom:
        return "no_room";
    case Reason::ConnectionLimit:
        return "connection_limit";
    case Reason::UnknownFlow:
        return "unknown_flow";
    case Reason::UpstreamLost:
        return "upstream_lost";
    case Reason::UpstreamSilent:
        return "upstream_silent";
    case Reason::WrongService:
        return "wrong_service";
    case Reason::WrongIncarnation:
        return "wrong_incarnation";
    case Reason::ZoneWithdrawn:
        return "zone_withdrawn";
    case Reason::MalformedEntry:
        return "malformed_entry";
    case Reason::StalePacket:
        return "stale_packet";
    case Reason::InternalError:
        return "internal_error";
    case Reason::BadSignature:
        return "bad_signature";
    case Reason::UnknownKey:
        return "unknown_key";
    case Reason::ReplayedMessage:
        return "replayed_message";
    case Reason::UnknownPeer:
        return "unknown_peer";
    case Reason::InconsistentDelta:
        return "inconsistent_delta";
    case Reason::StaleEra:
        return "stale_era";
    case Reason::UnreadableEra:
        return "unreadable_era";
    case Reason::RateLimit:
        return "rate_limit";
    case Reason::FairShare:
        return "fair_share";
    case Reason::NoSlot:
        return "no_slot";
    case Reason::LeaseLost:
        return "lease_lost";
    case Reason::AwaitingTakeover:
        return "awaiting_takeover";
    case Reason::IssuedBeforeTakeover:
        return "issued_before_takeover";
    case Reason::DeadlineExceeded:
        return "deadline_exceeded";
    case Reason::RetryBudgetExhausted:
        return "retry_budget_exhausted";
    case Reason::UpstreamShed:
        return "upstream_shed";
    case Reason::UpstreamDraining:
        return "upstream_draining";
    case Reason::UpstreamTimeout:
        return "upstream_timeout";
    case Reason::ChecksumMismatch:
        return "checksum_mismatch";
    case Reason::StaleAttempt:
        return "stale_attempt";
    case Reason::Cancelled:
        return "cancelled";
    case Reason::ShuttingDown:
        return "shutting_down";
    case Reason::AnswerDropped:
        return "answer_dropped";
    case Reason::TooManyRequests:
        return "too_many_requests";
    }
    return "unknown";
}

} // namespace banyanwall::common
