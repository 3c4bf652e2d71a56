/// The latest report on each destination's rate limit, from the forwarder's own answers and from peers.
///
/// No I/O, no clock: times are the caller's. Of two reports on a destination the newer one is kept; of two of
/// the same age, the one with less remaining. Merging is commutative, associative and idempotent. Messages
/// carry ages, never a time of another forwarder's clock. The table does not limit its size: the caller
/// forgets destinations that are gone.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "cometspoke/sender.hpp"

namespace lockgw::rate_limits {

using cometspoke::DestinationId;
using cometspoke::Time;

/// What an answer said of a destination's rate limit.
struct RateLimitReport {
    DestinationId destination = 0;
    double limit = 0.0;      ///< calls a second from all senders
    double remaining = 0.0;  ///< share of it that was unused, 0 to 1
    Time observed_at{0};     ///< when an answer carried it, on the caller's clock
};

/// The latest report of each destination and how often it has still to be passed on.
class RateLimitTable {
public:
    static constexpr int kTransmissions = 3;             ///< number of times that a report is passed on,
    static constexpr Time kMaxAge{3'000'000};            ///< unless it is older than this
    static constexpr double kMinRemainingChange = 0.15;  ///< smaller changes are not passed on
    static constexpr double kMinLimitChange = 0.1;       ///< the same for the limit, as a share of it
    static constexpr double kMaxLimit = 1'000'000;       ///< calls a second; a report above it is invalid

    /// Returns whether the report was accepted: it is valid and newer than the one in the table.
    bool merge(const RateLimitReport& report) {
        if (!(report.limit > 0 && report.limit <= kMaxLimit && report.remaining >= 0 &&
                report.remaining <= 1))
            return false;
        const auto [found, inserted] = records_.try_emplace(
            report.destination, Record{report.limit, report.remaining, report.observed_at, 0, 0.0, 0.0});
        Record& record = found->second;
        if (!inserted && std::tuple(record.observed_at, -record.remaining, -record.limit) >=
                             std::tuple(report.observed_at, -report.remaining, -report.limit))
            return false;
        unsent_.erase({record.observed_at, report.destination});
        const bool unchanged =
            !inserted && std::abs(report.remaining - record.sent_remaining) < kMinRemainingChange &&
            std::abs(report.limit - record.sent_limit) < kMinLimitChange * record.sent_limit;
        record = {report.limit, report.remaining, report.observed_at,
            unchanged ? record.transmissions : kTransmissions, unchanged ? record.sent_limit : report.limit,
            unchanged ? record.sent_remaining : report.remaining};
        if (record.transmissions > 0) unsent_.insert({record.observed_at, report.destination});
        return true;
    }
    bool has_unsent() const { return !unsent_.empty(); }
    /// Returns the newest reports that are still to be passed on, at most `max_count`, and counts one
    /// transmission of each. Drops those older than kMaxAge.
    std::vector<RateLimitReport> take_unsent(std::size_t max_count, Time now) {
        unsent_.erase(unsent_.begin(), unsent_.lower_bound({now - kMaxAge, 0}));
        std::vector<RateLimitReport> taken;
        for (auto unsent = unsent_.rbegin(); unsent != unsent_.rend() && taken.size() < max_count; ++unsent) {
            const Record& record = records_.at(unsent->second);
            taken.push_back({unsent->second, record.limit, record.remaining, record.observed_at});
        }
        for (const RateLimitReport& report : taken)
            if (--records_.at(report.destination).transmissions == 0)
                unsent_.erase({report.observed_at, report.destination});
        return taken;
    }
    /// The latest report; nothing if there is none.
    std::optional<RateLimitReport> find(DestinationId destination) const {
        const auto found = records_.find(destination);
        if (found == records_.end()) return std::nullopt;
        return RateLimitReport{
            destination, found->second.limit, found->second.remaining, found->second.observed_at};
    }
    std::vector<RateLimitReport> all() const {
        std::vector<RateLimitReport> reports;
        for (const auto& [destination, record] : records_)
            reports.push_back({destination, record.limit, record.remaining, record.observed_at});
        return reports;
    }
    /// Drops the report, so that it is not passed on either.
    void forget(DestinationId destination) {
        const auto found = records_.find(destination);
        if (found == records_.end()) return;
        unsent_.erase({found->second.observed_at, destination});
        records_.erase(found);
    }
    std::size_t size() const { return records_.size(); }

    /// A report and the values of it that were last passed on; public because captures serialise it.
    struct Record {
        double limit = 0.0, remaining = 0.0;
        Time observed_at{0};
        int transmissions = 0;
        double sent_limit = 0.0, sent_remaining = 0.0;  // as last passed on
    };
    template <class Archive>
    void members(Archive& a) {
        a(records_)(unsent_);
    }

private:
    std::map<DestinationId, Record> records_;
    std::set<std::pair<Time, DestinationId>> unsent_;
};

}  // namespace lockgw::rate_limits
