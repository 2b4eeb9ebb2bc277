// Compiles the implementation of Boost.JSON, which is used header-only; no
// other file may include src.hpp.
#include <boost/json/src.hpp>
