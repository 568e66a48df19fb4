package sycamore.ctl

import kotlinx.coroutines.runBlocking

/** Runs [command]; an invalid command line becomes a line on standard error and [Exit.MISUSE]. */
internal fun runCommand(
    terminal: Terminal,
    command: suspend () -> Exit,
): Exit =
    try {
        runBlocking { command() }
    } catch (e: MisuseException) {
        terminal.printNotice("sycamorectl: ${e.message}")
        Exit.MISUSE
    }
