@file:OptIn(ExperimentalCli::class)

package sycamore.bench

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import sycamore.bench.demo.DemoCommand
import sycamore.bench.history.HistoryCommand
import sycamore.bench.load.LoadCommand
import sycamore.bench.policy.DecisionCostCommand
import sycamore.bench.policy.PolicyCommand
import sycamore.bench.recovery.RecoveryCommand
import sycamore.bench.slopes.IdleCommand
import sycamore.bench.slopes.SlopesCommand
import sycamore.bench.soak.SoakCommand
import sycamore.bench.spread.SpreadCommand
import sycamore.daemon.Program
import kotlin.system.exitProcess

private val commands: Array<Subcommand>
    get() =
        arrayOf(
            HistoryCommand(),
            IdleCommand(),
            LoadCommand(),
            DemoCommand(),
            PolicyCommand(),
            RecoveryCommand(),
            DecisionCostCommand(),
            SlopesCommand(),
            SoakCommand(),
            SpreadCommand(),
        )

/** Entry point of `sycamore-bench`: runs the measurement or check that the given subcommand names. */
fun main(args: Array<String>) {
    val parser = Program.parser("sycamore-bench", args)
    parser.subcommands(*commands)
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    exitProcess(0)
}
