#ifndef DOGWOODFALL_MODULES_BASE_RESULT_H_
#define DOGWOODFALL_MODULES_BASE_RESULT_H_

#include <cassert>
#include <string>
#include <utility>
#include <variant>

#include "base/result_code.h"

namespace dogwoodfall {

/** Why something was not done: a numbered code and a text for people. */
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string detail;
};

/** Either a value or an Error. */
template <typename Value>
class Result {
 public:
  Result(Value value) : content(std::move(value)) {}  // NOLINT: implicit
  Result(Error error) : content(std::move(error)) {}  // NOLINT: implicit

  /** True when there is a value. */
  bool ok() const { return std::holds_alternative<Value>(this->content); }

  /** The value; only to be called when ok(). */
  const Value& value() const {
    assert(this->ok());
    return std::get<Value>(this->content);
  }

  /** Moves the value out; only to be called when ok(). */
  Value Take() {
    assert(this->ok());
    return std::move(std::get<Value>(this->content));
  }

  /** The error; only to be called when not ok(). */
  const Error& error() const {
    assert(!this->ok());
    return std::get<Error>(this->content);
  }

 private:
  std::variant<Value, Error> content;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_RESULT_H_
