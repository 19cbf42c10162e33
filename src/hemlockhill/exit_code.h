// Exit codes of the hemlockhill program, as documented in README.md.
#pragma once

namespace Hemlockhill
{

enum ExitCode : int {
    Success = 0,
    // A valid command was refused, or the node failed at run time.
    Refused = 1,
    // Invalid arguments, an invalid settings file, or a statement that does not parse.
    Usage = 2,
    // A node could not be reached, a file could not be read, or an address could not be bound.
    Unreachable = 3,
};

} // namespace Hemlockhill
