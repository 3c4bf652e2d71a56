/// The table of routes for people and programs.
#pragma once

#include <ostream>

#include "config/config.hpp"
#include "routes/expectations.hpp"

namespace lockgw::program {

Json json_of(const std::vector<routes::RoutingRow>& rows);
std::vector<routes::RoutingRow> rows_from(const Json& rows);
void print(std::ostream& out, const std::vector<routes::RoutingRow>& rows);

}  // namespace lockgw::program
