#include "console/call.hpp"

#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>
#include <optional>

namespace lockgw::console {

using operations::Answer;
using operations::Order;

namespace {

constexpr std::string_view kTargets = "/control/targets/";

std::optional<unsigned> hex_digit(char letter) {
    if (letter >= '0' && letter <= '9') return static_cast<unsigned>(letter - '0');
    if (letter >= 'a' && letter <= 'f') return static_cast<unsigned>(letter - 'a' + 10);
    if (letter >= 'A' && letter <= 'F') return static_cast<unsigned>(letter - 'A' + 10);
    return std::nullopt;
}

/// An id as it stands in a path; none where it is spoilt or holds a control character.
std::optional<std::string> decoded(std::string_view text) {
    std::string id;
    for (std::size_t i = 0; i < text.size(); ++i) {
        char letter = text[i];
        if (letter == '%') {
            if (i + 2 >= text.size()) return std::nullopt;
            const auto high = hex_digit(text[i + 1]), low = hex_digit(text[i + 2]);
            if (!high || !low) return std::nullopt;
            letter = static_cast<char>(*high * 16 + *low);
            i += 2;
        }
        if (static_cast<unsigned char>(letter) < ' ' || letter == '\x7f') return std::nullopt;
        id += letter;
    }
    if (id.empty() || id.size() > operations::kIdMost) return std::nullopt;
    return id;
}

Call wrong(int status, std::string why, std::string allow = "") {
    return {status, std::move(why), std::move(allow), {}, {}, {}};
}

}  // namespace

namespace {

/// `path`: beyond /control/work.
Call work_of(std::string_view method, std::string_view path) {
    Call call;
    const char* takes = path.empty() ? "GET" : "PUT";
    if (path.empty()) {
        call.work = "status";
    } else if (path == "/approve" || path == "/hold" || path == "/cancel") {
        call.work = path.substr(1);
    } else if (path == "/done" || path.starts_with("/done/")) {
        call.work = "done";
        const auto machine = path == "/done" ? std::optional<std::string>("") : decoded(path.substr(6));
        if (!machine) return wrong(400, "this is no machine");
        call.machine = *machine;
    } else {
        return wrong(404, "there is no such call");
    }
    if (method != takes) return wrong(405, std::string("this call takes ") + takes, takes);
    return call;
}

}  // namespace

Call call_of(std::string_view method, std::string_view path) {
    path = path.substr(0, path.find_first_of("?#"));
    constexpr std::string_view kWork = "/control/work";
    if (path == kWork || path.starts_with("/control/work/"))
        return work_of(method, path.substr(kWork.size()));
    Order order;
    const char* takes = "PUT";
    if (path == "/control/ready") {
        takes = "GET";
    } else if (path == "/control/out-of-service") {
        order.kind = Order::Kind::OutOfService;
    } else if (path == "/control/in-service") {
        order.kind = Order::Kind::InService;
    } else {
        const bool offline = path.ends_with("/offline"), online = path.ends_with("/online");
        if (!path.starts_with(kTargets) || !(offline || online)) return wrong(404, "there is no such call");
        order.kind = offline ? Order::Kind::Offline : Order::Kind::Online;
        const std::size_t end = path.rfind('/');
        if (end < kTargets.size()) return wrong(404, "there is no such call");
        const std::string_view text = path.substr(kTargets.size(), end - kTargets.size());
        if (text.find('/') != std::string_view::npos) return wrong(404, "there is no such call");
        const auto id = decoded(text);
        if (!id) return wrong(400, "this is no id of a target");
        order.target = *id;
    }
    if (method != takes) return wrong(405, std::string("this call takes ") + takes, takes);
    return {200, "", "", std::move(order), {}, {}};
}

int status_of(Answer::Kind kind) {
    switch (kind) {
        case Answer::Kind::Yes:
            return 200;
        case Answer::Kind::Senseless:
            return 400;
        case Answer::Kind::Unknown:
            return 404;
        case Answer::Kind::TooMany:
            return 409;
        case Answer::Kind::NotReady:
            return 503;
        case Answer::Kind::NotKept:
            return 507;
    }
    return 500;
}

std::string body_text(const std::string& json) {
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
           std::to_string(json.size()) + "\r\n\r\n" + json;
}

std::string answer_text(int status, const std::string& why, const std::string& allow) {
    const bool yes = status / 100 == 2;
    nlohmann::json body{{"ok", yes}};
    if (!why.empty()) body["why"] = why;
    const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    std::string out = "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reason.data(), reason.size());
    if (!allow.empty()) out += "\r\nAllow: " + allow;
    return out + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text;
}

}  // namespace lockgw::console
