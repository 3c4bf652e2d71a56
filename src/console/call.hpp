/// What a call to the console asks for, and how an answer is put. Pure.
#pragma once

#include <string>
#include <string_view>

#include "operations/operations.hpp"

namespace lockgw::console {

/// An order, or the status that says what is wrong with the call.
struct Call {
    int status = 200;
    std::string why;    ///< where it is not 200
    std::string allow;  ///< the method that the path takes, of a 405
    operations::Order order;
    /// Of machines taken out in turn, in the place of an order: "status", "approve", "hold", "cancel",
    /// "done".
    std::string work, machine;
};
/// `path`: a request's target as it came.
Call call_of(std::string_view method, std::string_view path);
int status_of(operations::Answer::Kind kind);
/// A whole answer to `method`; the connection ends with it.
/// The same with a body of JSON.
std::string body_text(const std::string& json);
std::string answer_text(int status, const std::string& why, const std::string& allow = "");

}  // namespace lockgw::console
