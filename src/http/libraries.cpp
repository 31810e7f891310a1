// The one unit in which Asio and Beast are compiled. The precompiled header comes first: Asio's own sources
// lack an include that it brings.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
