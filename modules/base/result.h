#ifndef DOGWOODFALL_MODULES_BASE_RESULT_H_
#define DOGWOODFALL_MODULES_BASE_RESULT_H_

#include <cassert>
#include <string>
#include <utility>
#include <variant>

#include "base/result_code.h"

namespace dogwoodfall {

/** Reason of a failure: a numbered code and a human-readable text. */
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

  bool ok() const { return std::holds_alternative<Value>(this->content); }

  /** Returns the value; requires ok(). */
  const Value& value() const {
    assert(this->ok());
    return std::get<Value>(this->content);
  }

  /** Moves the value out; requires ok(). */
  Value Take() {
    assert(this->ok());
    return std::move(std::get<Value>(this->content));
  }

  /** Returns the error; requires !ok(). */
  const Error& error() const {
    assert(!this->ok());
    return std::get<Error>(this->content);
  }

 private:
  std::variant<Value, Error> content;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_RESULT_H_
