//===- LibIntent/IntentJson.h - The intent as canonical JSON --------------===//
///
/// \file
/// Two intents mean the same if and only if their canonical JSON is equal.
/// parseIntent() reads it back.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_INTENTJSON_H
#define LIBINTENT_INTENTJSON_H

#include <LibIntent/Intent.h>
#include <boost/json.hpp>

namespace carobhinge {

/// Members in fixed order with their defaults, lists by name.
boost::json::object canonicalJson(const Intent &Wanted);

} // namespace carobhinge

#endif // LIBINTENT_INTENTJSON_H
