//===- LibIntent/DisseminationSettings.h - A host's place in the tree -----===//
///
/// \file
/// Works out from the settings whom a host asks for the intent and which
/// hosts share its failure domain.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_DISSEMINATIONSETTINGS_H
#define LIBINTENT_DISSEMINATIONSETTINGS_H

#include <LibIntent/Dissemination.h>
#include <LibIntent/DisseminationTree.h>
#include <LibSettings/Settings.h>

namespace carobhinge {

DisseminationOptions disseminationOptions(const Settings &Own,
                                          const TreeShape &Shape = {});

} // namespace carobhinge

#endif // LIBINTENT_DISSEMINATIONSETTINGS_H
