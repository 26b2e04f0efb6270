carobhinge_library(LibStandIn LibCore LibFleet LibHTTP)
