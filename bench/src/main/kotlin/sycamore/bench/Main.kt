@file:OptIn(ExperimentalCli::class)

package sycamore.bench

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import sycamore.bench.history.HistoryCommand
import sycamore.bench.policy.PolicyCommand
import sycamore.daemon.Program

/** Load, policy, history and slope runs. */
fun main(args: Array<String>) {
    if (args.contentEquals(arrayOf("--version"))) {
        println("sycamore-bench ${Program.VERSION}")
        return
    }
    val parser = ArgParser("sycamore-bench")
    parser.subcommands(HistoryCommand(), PolicyCommand())
    parser.parse(args)
}
