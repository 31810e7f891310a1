#include <doctest/doctest.h>
