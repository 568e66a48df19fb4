package sycamore.ctl

import kotlinx.coroutines.runBlocking

/** Runs [command] and turns the failures that an operator can mend into an exit code and one line. */
internal fun runCommand(
    terminal: Terminal,
    command: suspend () -> Exit,
): Exit =
    try {
        runBlocking { command() }
    } catch (e: MisuseException) {
        terminal.note("sycamorectl: ${e.message}")
        Exit.MISUSE
    }
