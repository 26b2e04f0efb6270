//===- LibIntent/IntentJson.h - The intent as canonical JSON --------------===//
///
/// \file
/// Two intents are equivalent if and only if their canonical JSON is equal.
/// parseIntent() accepts this form.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_INTENTJSON_H
#define LIBINTENT_INTENTJSON_H

#include <LibIntent/Intent.h>
#include <boost/json.hpp>

namespace carobhinge {

/// Members in fixed order including defaults, lists sorted by name.
boost::json::object canonicalJson(const Intent &Value);

} // namespace carobhinge

#endif // LIBINTENT_INTENTJSON_H
