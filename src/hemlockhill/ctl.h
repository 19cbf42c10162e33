// The ctl subcommand: sends operator statements to nodes and prints the answers.
#pragma once

#include "hemlockhill/world.h"

#include <string>
#include <vector>

namespace Hemlockhill
{

struct CtlOptions {
    // Operator addresses of nodes, as HOST:PORT. The next one is tried when a node is unreachable or answers 503.
    std::vector<std::string> at;
    // Requests JSON answers instead of text.
    bool json = false;
    // Statements from the command line. If empty, statements are read from the script or from standard input, one per line.
    std::vector<std::string> statements;
    // Path of a file with one statement per line. Empty lines and lines that start with # are skipped.
    std::string script;
    // Prefix of generated operation ids: the command in line 7 gets the id PREFIX-7, so that resending the whole script is idempotent.
    std::string operationPrefix;
    // Timeout of each step of an exchange with a node (connect, send, receive), as a duration such as "30s".
    std::string timeout = "30s";
};

// Sends the statements in order, prints each answer, and stops at the first statement that is not accepted. Returns an exit code
// (see exit_code.h). Throws EnvironmentError when the script file cannot be read.
int runCtl(const CtlOptions &options);

} // namespace Hemlockhill
