/// \file
/// Property checks by rapidcheck with a fixed seed.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_SEEDEDCHECK_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_SEEDEDCHECK_H

#include <rapidcheck.h>

#include <iostream>

namespace gooseberry {

/// \param Property a callable that rapidcheck can generate arguments for.
/// \param Runs how many sets of arguments are tried.
/// \returns whether it held for all; a counterexample is printed.
template <typename Callable>
bool checkSeeded(Callable &&Property, int Runs = 200) {
  rc::detail::TestParams Parameters;
  Parameters.seed = 1;
  Parameters.maxSuccess = Runs;
  const auto Outcome = rc::detail::checkTestable(
      std::forward<Callable>(Property), rc::detail::TestMetadata(), Parameters);
  rc::detail::SuccessResult Success;
  const bool IsHeld = Outcome.match(Success);
  if (!IsHeld)
    rc::detail::printResultMessage(Outcome, std::cerr);
  return IsHeld;
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_SEEDEDCHECK_H
