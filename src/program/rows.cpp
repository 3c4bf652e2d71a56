#include "program/rows.hpp"

#include <algorithm>
#include <iomanip>

namespace lockgw::program {
namespace {

std::string joined(const std::vector<std::string>& all) {
    std::string text;
    for (const std::string& one : all) text += (text.empty() ? "" : ", ") + one;
    return text.empty() ? "no endpoint" : text;
}

}  // namespace

Json json_of(const std::vector<routes::RoutingRow>& rows) {
    Json all = Json::array();
    for (const auto& row : rows)
        all.push_back({{"destination", row.destination}, {"class", row.message_class}, {"tenant", row.tenant},
            {"refused", row.refused}, {"endpoints", row.endpoints}, {"rule", row.rule}});
    return all;
}

std::vector<routes::RoutingRow> rows_from(const Json& rows) {
    std::vector<routes::RoutingRow> all;
    for (const Json& row : rows)
        all.push_back({row.at("destination"), row.at("class"), row.at("tenant"), row.at("refused"),
            row.at("endpoints"), row.at("rule")});
    return all;
}

void print(std::ostream& out, const std::vector<routes::RoutingRow>& rows) {
    std::size_t widths[3] = {11, 5, 6};
    for (const auto& row : rows) {
        widths[0] = std::max(widths[0], row.destination.size());
        widths[1] = std::max(widths[1], row.message_class.size());
        widths[2] = std::max(widths[2], row.tenant.size());
    }
    const auto line = [&](const std::string& a, const std::string& b, const std::string& c,
                          const std::string& rest) {
        out << std::left << std::setw(static_cast<int>(widths[0]) + 2) << a
            << std::setw(static_cast<int>(widths[1]) + 2) << b << std::setw(static_cast<int>(widths[2]) + 2)
            << c << rest << '\n';
    };
    line("destination", "class", "tenant", "goes to");
    for (const auto& row : rows)
        line(row.destination, row.message_class, row.tenant,
            (row.refused ? "refused" : joined(row.endpoints)) + "  (" + row.rule + ")");
}

}  // namespace lockgw::program
