//===- LibIntent/DisseminationSettings.h - Dissemination options ----------===//
///
/// \file
/// Derives from the settings which hosts a host polls for the intent and which
/// hosts share its failure domain.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_DISSEMINATIONSETTINGS_H
#define LIBINTENT_DISSEMINATIONSETTINGS_H

#include <LibIntent/Dissemination.h>
#include <LibIntent/DisseminationTree.h>
#include <LibSettings/Settings.h>

namespace carobhinge {

DisseminationOptions disseminationOptions(const Settings &LocalSettings,
                                          const TreeShape &Shape = {});

} // namespace carobhinge

#endif // LIBINTENT_DISSEMINATIONSETTINGS_H
