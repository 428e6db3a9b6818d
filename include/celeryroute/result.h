#pragma once

#include <celeryroute/error.h>

#include <boost/leaf.hpp>

#include <utility>

namespace celeryroute {

/// A value or an Error.
template <typename T>
using Result = boost::leaf::result<T>;

/// @brief Makes the failed result of the calling function.
inline boost::leaf::error_id fail(ResultCode code, std::string message)
{
    return boost::leaf::new_error(Error{code, std::move(message)});
}

/// @brief Makes the failed result of the calling function from @p error.
inline boost::leaf::error_id fail(Error error)
{
    return boost::leaf::new_error(std::move(error));
}

/// @brief The value of `operation()`, or the value of `onError(const Error &)` when it fails.
///
/// `operation` returns Result<T>; `onError` returns T. Every use of a Result ends in this
/// function or in BOOST_LEAF_AUTO / BOOST_LEAF_CHECK inside one.
template <typename Operation, typename OnError>
auto handleErrors(Operation &&operation, OnError &&onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Operation>(operation),
        [&onError](const Error &error) { return onError(error); },
        [&onError] {
            return onError(Error{ResultCode::Internal, "a failure without a description"});
        });
}

} // namespace celeryroute
