#pragma once

/// The TOML library, without its assertions: it asserts that a key begins with
/// a character of a key ("[=" does not) and then reports the same as an error.
#define TOML_ASSERT(expr) static_assert(true)

#include <toml++/toml.h> // IWYU pragma: export
