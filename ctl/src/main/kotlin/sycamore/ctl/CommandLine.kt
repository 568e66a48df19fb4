@file:OptIn(ExperimentalCli::class)

package sycamore.ctl

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlin.system.exitProcess

/** A command of `sycamorectl`. Its [run] returns the exit status. */
internal abstract class Command(
    name: String,
    description: String,
    protected val terminal: Terminal,
) : Subcommand(name, description) {
    /** The exit status of the command, or null if the command was not run. */
    var exit: Exit? = null
        private set

    /** Runs the command with the options of the command line. */
    abstract suspend fun run(): Exit

    override fun execute() {
        exit = runCommand(terminal) { run() }
    }
}

/** A command that uses the platform's services and the daemons. */
internal abstract class OnlineCommand(
    name: String,
    description: String,
    terminal: Terminal,
) : Command(name, description, terminal) {
    private val settings by option(ArgType.String, "settings", "s", "TOML file that names the services below")
    private val keyValue by option(ArgType.String, "key-value", "k", "IP:port of the key-value service")
    private val hostList by option(ArgType.String, "host-list", "l", "IP:port of the list of hosts")

    /** Runs the command with the options of the command line, by means of [fleet]. */
    abstract suspend fun run(fleet: FleetClient): Exit

    override suspend fun run(): Exit = FleetClient.open(settings, keyValue, hostList).use { run(it) }
}

/** The command line could be parsed but is not valid, for the reason in [message]. */
internal class MisuseException(
    message: String,
) : Exception(message)

/** Creates a parser whose errors end the process with [Exit.MISUSE]; the library itself uses another exit code. */
internal fun commandLine(
    name: String,
    terminal: Terminal,
): ArgParser {
    val parser = ArgParser(name, strictSubcommandOptionsOrder = false)
    val end = { message: String, code: Int ->
        if (code == 0) terminal.printLine(message) else terminal.printNotice(message)
        exitProcess(if (code == 0) Exit.DONE.code else Exit.MISUSE.code)
    }
    parser.javaClass.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(parser, end)
    return parser
}
