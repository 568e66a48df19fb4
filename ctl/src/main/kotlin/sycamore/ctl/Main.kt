@file:OptIn(ExperimentalCli::class)

package sycamore.ctl

import kotlinx.cli.ExperimentalCli
import sycamore.daemon.Program
import kotlin.system.exitProcess

/** The operators' command line. */
fun main(args: Array<String>) {
    if (args.contentEquals(arrayOf("--version"))) {
        println("sycamorectl ${Program.VERSION}")
        return
    }
    val terminal = Terminal()
    val commands = commands(terminal)
    val parser = commandLine("sycamorectl", terminal)
    parser.subcommands(*commands.toTypedArray())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    val exit = commands.firstNotNullOfOrNull { it.exit } ?: Exit.MISUSE
    if (exit == Exit.MISUSE) terminal.printNotice("try: sycamorectl --help")
    exitProcess(exit.code)
}

private fun commands(terminal: Terminal): List<Command> =
    listOf(
        CheckCommand(terminal),
        PublishCommand(terminal),
        ShowCommand(terminal),
        StatusCommand(terminal),
        AuditCommand(terminal),
        KeyCommand(terminal),
    )
