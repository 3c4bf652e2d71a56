#include "operations/operations.hpp"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace lockgw::operations {

using Json = nlohmann::json;

Answer Operations::give(const Order& order, bool listed, std::int64_t now_ms) {
    using Kind = Order::Kind;
    std::erase_if(back_, [now_ms](const auto& one) { return one.second + kColdFor_ms <= now_ms; });
    if (order.kind == Kind::Ready) return {};
    if (order.kind == Kind::OutOfService || order.kind == Kind::InService) {
        in_service_ = order.kind == Kind::InService;
        return {};
    }
    if (order.target.empty() || order.target.size() > kIdMost)
        return {Answer::Kind::Senseless, "an id has 1 to 256 bytes"};
    if (!listed && !known(order.target))
        return {Answer::Kind::Unknown, "no target with this id was ever listed"};
    if (order.kind == Kind::Online) {
        // one put back now may push out an older one: that one was told of as cold long enough, mostly
        if (out_.erase(order.target) > 0) {
            if (back_.size() >= kOutMost)
                back_.erase(std::min_element(back_.begin(), back_.end(),
                    [](const auto& a, const auto& b) { return a.second < b.second; }));
            back_.insert_or_assign(order.target, now_ms);
            if (!listed) gone(order.target);
        }
        return {};
    }
    if (out_.contains(order.target)) return {};
    if (out_.size() >= kOutMost)
        return {Answer::Kind::TooMany, std::to_string(kOutMost) + " targets are out: put some back first"};
    out_.insert(order.target);
    back_.erase(order.target);
    return {};
}

void Operations::gone(const std::string& id) {
    if (id.empty() || id.size() > kIdMost || !gone_ids_.insert(id).second) return;
    gone_.push_back(id);
    gone_bytes_ += id.size();
    while (gone_.size() > kGoneMost || gone_bytes_ > kGoneBytes) {
        gone_bytes_ -= gone_.front().size();
        gone_ids_.erase(gone_.front());
        gone_.pop_front();
    }
}

bool Operations::cold(const std::string& id, std::int64_t now_ms) const {
    const auto found = back_.find(id);
    return found != back_.end() && now_ms < found->second + kColdFor_ms;
}

Operations::Moves Operations::moves(const Operations& after) const {
    Moves moves;
    moves.service = in_service_ != after.in_service_;
    std::set_difference(
        after.out_.begin(), after.out_.end(), out_.begin(), out_.end(), std::back_inserter(moves.out));
    std::set_difference(
        out_.begin(), out_.end(), after.out_.begin(), after.out_.end(), std::back_inserter(moves.back));
    return moves;
}

std::string Operations::text() const {
    // ids are bytes of the platform's choosing: what is no UTF-8 must not keep an order from being written
    return Json{{"v", 1}, {"in_service", in_service_}, {"out", out_}, {"back", back_}, {"gone", gone_}}.dump(
        -1, ' ', false, Json::error_handler_t::replace);
}

Operations Operations::of(const std::string& text) {
    const Json json = Json::parse(text);
    if (json.at("v") != 1) throw std::runtime_error("orders of a newer build");
    Operations read;
    read.in_service_ = json.at("in_service").get<bool>();
    read.out_ = json.at("out").get<std::set<std::string>>();
    read.back_ = json.at("back").get<std::map<std::string, std::int64_t>>();
    for (const Json& id : json.at("gone")) read.gone(id.get<std::string>());
    return read;
}

const char* text_of(Answer::Kind kind) {
    switch (kind) {
        case Answer::Kind::Yes:
            return "yes";
        case Answer::Kind::NotReady:
            return "not ready";
        case Answer::Kind::Unknown:
            return "unknown";
        case Answer::Kind::TooMany:
            return "too many";
        case Answer::Kind::NotKept:
            return "not kept";
        case Answer::Kind::Senseless:
            return "senseless";
    }
    return "?";
}

const char* text_of(Order::Kind kind) {
    switch (kind) {
        case Order::Kind::Ready:
            return "ready";
        case Order::Kind::Offline:
            return "offline";
        case Order::Kind::Online:
            return "online";
        case Order::Kind::OutOfService:
            return "out-of-service";
        case Order::Kind::InService:
            return "in-service";
    }
    return "?";
}

}  // namespace lockgw::operations
