/// \file
/// Results that hold a value or a typed error.
#ifndef GOOSEBERRYBEAM_BASE_RESULT_H
#define GOOSEBERRYBEAM_BASE_RESULT_H

#include <cassert>
#include <utility>
#include <variant>

namespace gooseberry {

/// A value of type \p T or an error of type \p E.
template <typename T, typename E> using Result = std::variant<T, E>;

/// \param Outcome a result.
/// \returns whether it holds a value.
template <typename T, typename E> bool isOk(const Result<T, E> &Outcome) {
  return Outcome.index() == 0;
}

/// \param Outcome a result that holds a value.
/// \returns that value.
template <typename T, typename E>
const T &valueOf(const Result<T, E> &Outcome) {
  assert(isOk(Outcome));
  return std::get<0>(Outcome);
}

/// \param Outcome a result that holds a value.
/// \returns that value, moved out.
template <typename T, typename E> T takeValue(Result<T, E> &&Outcome) {
  assert(isOk(Outcome));
  return std::get<0>(std::move(Outcome));
}

/// \param Outcome a result that holds an error.
/// \returns that error.
template <typename T, typename E>
const E &errorOf(const Result<T, E> &Outcome) {
  assert(!isOk(Outcome));
  return std::get<1>(Outcome);
}

/// Builds a visitor for `std::visit` from lambdas.
template <typename... Handlers> struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_BASE_RESULT_H
