// Parser of the commands of the operator language.
#pragma once

#include "hemlockhill/region_state.h"
#include "tokens.h"

namespace Hemlockhill
{

// The first words of all commands.
const Words &commandVerbs();

// Parses a command from its verb up to the end of the statement. Throws LanguageError.
CommandRequest readCommand(TokenReader &reader);

} // namespace Hemlockhill
