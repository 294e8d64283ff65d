#pragma once

namespace banyanwall::connection {

/// Controls which share of the openings of one priority is admitted. The demand is measured with a
/// lag of one or two seconds, so that the share follows from the lagged demand and from the share
/// that was admitted when it arose. Not thread-safe.
class AdmittedShare
{
public:
    /// What a priority brings and what it may use, in slots.
    struct Load
    {
        double room = 0.0;
        double demand = 0.0;
        /// Part of the demand, from 0 to 1, that ends or begins within the lag: all of it
        /// when each flow carries one request, little when flows stay open.
        double newDemand = 1.0;
    };

    /// Moves the share by one step; called every 200 ms. The share falls only if mayFall.
    void update(const Load &load, bool mayFall);
    /// Raises the share by one step, for a load that is not known well enough.
    void release();
    void admitAll();

    /// Share of the offered work, from 0 to 1.
    [[nodiscard]] double value() const { return m_share; }

    /// Mean of the share over the time in which the measured demand arose.
    [[nodiscard]] double lagged() const { return m_laggedShare; }

private:
    double m_share = 1.0;
    double m_laggedShare = 1.0;
};

} // namespace banyanwall::connection
