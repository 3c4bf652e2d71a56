#include "recovery/snapshot.hpp"

#include <algorithm>
#include <boost/crc.hpp>
#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>

#include "base/splitmix64.hpp"

namespace lockgw::recovery {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kMagic = "LKSN";
constexpr char kVersion = 1;
constexpr std::size_t kHead = 9;
constexpr double kMostRate = 1e9;

std::uint32_t sum_of(std::string_view bytes) {
    boost::crc_32_type sum;
    sum.process_bytes(bytes.data(), bytes.size());
    return sum.checksum();
}

Json of(const std::optional<Time>& span) { return span ? Json(span->count()) : Json(); }
std::optional<Time> span_of(const Json& value) {
    if (value.is_null()) return std::nullopt;
    return Time(value.get<Time::rep>());
}
double finite(const Json& value, double least, double most) {
    const double read = value.get<double>();
    if (!(read >= least && read <= most)) throw std::out_of_range("a number out of range");
    return read;
}

Json of(const Limit& limit) {
    if (!limit.any()) return nullptr;
    return Json::array({limit.known, limit.gain, limit.heard, limit.left, of(limit.age)});
}
Limit limit_of(const Json& row) {
    Limit limit;
    if (row.is_null()) return limit;
    limit.known = finite(row.at(0), 0, kMostRate), limit.gain = finite(row.at(1), 0, kMostRate);
    limit.heard = finite(row.at(2), 0, kMostRate), limit.left = finite(row.at(3), -1, 1);
    limit.age = span_of(row.at(4));
    return limit;
}
Json of(const std::optional<Outage>& one) {
    if (!one) return nullptr;
    return Json::array({one->answers, one->failure_seen, one->failing, one->knowing, one->refused_row,
        one->fell.count(), of(one->good), of(one->heard), of(one->returned), one->next_trial.count()});
}
std::optional<Outage> outage_of(const Json& row) {
    if (row.is_null()) return std::nullopt;
    Outage one;
    one.answers = row.at(0).get<bool>(), one.failure_seen = row.at(1).get<bool>();
    one.failing = finite(row.at(2), 0, 1), one.knowing = finite(row.at(3), 0.001, 1);
    one.refused_row = std::clamp(row.at(4).get<int>(), 0, 1000);
    one.fell = *span_of(row.at(5));
    one.good = span_of(row.at(6)), one.heard = span_of(row.at(7)), one.returned = span_of(row.at(8));
    one.next_trial = *span_of(row.at(9));
    return one;
}

}  // namespace

std::string bytes_of(const Snapshot& snapshot) {
    Json targets = Json::array(), destinations = Json::array();
    for (const TargetFact& one : snapshot.targets) {
        if (targets.size() == kMostFacts) break;
        targets.push_back(Json::array({one.id, one.destination, of(one.outage), of(one.limit)}));
    }
    for (const DestinationFact& one : snapshot.destinations) {
        if (destinations.size() == kMostFacts) break;
        destinations.push_back(
            Json::array({one.number, of(one.limit), one.usual_s, one.served_per_s, one.asked_per_s}));
    }
    const Moment& at = snapshot.at;
    const auto packed = Json::to_msgpack({{"at", {at.steady.count(), at.wall.count(), at.boot_id}},
        {"held", snapshot.held}, {"orders", snapshot.orders}, {"usual", snapshot.usual_s},
        {"targets", std::move(targets)}, {"destinations", std::move(destinations)}});
    const std::string body(packed.begin(), packed.end());
    std::string bytes(kMagic);
    bytes.push_back(kVersion);
    const std::uint32_t sum = sum_of(body);
    for (int i = 0; i < 4; ++i) bytes.push_back(static_cast<char>(sum >> (8 * i)));
    return bytes + body;
}

Read snapshot_of(std::string_view bytes) try {
    if (bytes.size() < kHead || bytes.substr(0, kMagic.size()) != kMagic)
        return {std::nullopt, "no snapshot"};
    if (bytes[kMagic.size()] != kVersion) return {std::nullopt, "another version's"};
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < 4; ++i)
        sum |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[kMagic.size() + 1 + i]))
               << (8 * i);
    bytes.remove_prefix(kHead);
    if (sum_of(bytes) != sum) return {std::nullopt, "torn, or spoilt"};
    const Json all = Json::from_msgpack(bytes.begin(), bytes.end());
    Snapshot snapshot;
    const Json& at = all.at("at");
    snapshot.at = {
        Time(at.at(0).get<Time::rep>()), Time(at.at(1).get<Time::rep>()), at.at(2).get<std::uint64_t>()};
    snapshot.held = all.at("held").get<std::uint64_t>(), snapshot.orders = all.at("orders").get<bool>();
    snapshot.usual_s = finite(all.at("usual"), 0, kMostRate);
    for (const Json& row : all.at("targets")) {
        if (snapshot.targets.size() == kMostFacts) break;
        snapshot.targets.push_back({row.at(0).get<std::string>(), row.at(1).get<std::int64_t>(),
            outage_of(row.at(2)), limit_of(row.at(3))});
    }
    for (const Json& row : all.at("destinations")) {
        if (snapshot.destinations.size() == kMostFacts) break;
        snapshot.destinations.push_back(
            {row.at(0).get<std::int64_t>(), limit_of(row.at(1)), finite(row.at(2), 0, kMostRate),
                finite(row.at(3), 0, kMostRate), finite(row.at(4), 0, kMostRate)});
    }
    return {std::move(snapshot), ""};
} catch (const std::exception& bad) {
    return {std::nullopt, bad.what()};
}

std::uint64_t gist_of(const Snapshot& snapshot) {
    std::uint64_t gist = snapshot.orders;
    const auto add = [&gist](std::uint64_t what) {
        gist = splitmix64(gist ^ splitmix64(what + 0x9e3779b97f4a7c15));
    };
    const auto tenth = [&add](double value) {
        add(value > 0 ? static_cast<std::uint64_t>(std::llround(10 * std::log(value)) + 100'000) : 0);
    };
    const auto limit = [&](const Limit& one) { tenth(one.known), tenth(one.heard), tenth(one.gain); };
    for (const TargetFact& one : snapshot.targets) {
        add(std::hash<std::string>()(one.id)), limit(one.limit);
        add(one.outage ? one.outage->answers ? 2 : 1 : 0);
    }
    for (const DestinationFact& one : snapshot.destinations)
        add(static_cast<std::uint64_t>(one.number)), limit(one.limit), tenth(one.usual_s);
    return gist;
}

}  // namespace lockgw::recovery
