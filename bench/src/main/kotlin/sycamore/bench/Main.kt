@file:OptIn(ExperimentalCli::class)

package sycamore.bench

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import sycamore.bench.history.HistoryCommand
import sycamore.bench.load.LoadCommand
import sycamore.bench.policy.PolicyCommand
import sycamore.bench.slopes.IdleCommand
import sycamore.bench.slopes.SlopesCommand
import sycamore.daemon.Program
import kotlin.system.exitProcess

private val commands: Array<Subcommand>
    get() =
        arrayOf(
            HistoryCommand(),
            IdleCommand(),
            LoadCommand(),
            PolicyCommand(),
            SlopesCommand(),
        )

/** Load, policy, history and slope runs. */
fun main(args: Array<String>) {
    if (args.contentEquals(arrayOf("--version"))) {
        println("sycamore-bench ${Program.VERSION}")
        return
    }
    val parser = ArgParser("sycamore-bench")
    parser.subcommands(*commands)
    parser.parse(args)
    exitProcess(0)
}
