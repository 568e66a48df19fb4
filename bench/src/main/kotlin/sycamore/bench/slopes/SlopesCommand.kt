@file:OptIn(ExperimentalCli::class)

package sycamore.bench.slopes

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import sycamore.bench.fleet.FleetLayout
import java.io.File
import kotlin.time.Duration.Companion.seconds

/** `sycamore-bench idle`: adds a sample of a running fleet's idle daemons to a file. */
internal class IdleCommand : Subcommand("idle", "Sample the idle daemons of a running fleet") {
    private val fleet by option(ArgType.String, "fleet", description = "Directory of a running fleet").required()
    private val samples by option(ArgType.String, "samples", description = "File that gets one line more").required()
    private val seconds by option(ArgType.Int, "seconds", description = "How long to watch").default(20)

    override fun execute() {
        val layout = FleetLayout.load(File(fleet))
        val sample = runBlocking { IdleSample.take(layout, seconds.seconds) }
        File(samples).appendText(sample.line() + "\n")
    }
}

/** `sycamore-bench slopes`: how state, bytes and processor time grow. `bin/sycamore-bench` starts the fleets. */
internal class SlopesCommand : Subcommand("slopes", "Measure how each role's cost grows with each size") {
    private val fleet by option(ArgType.String, "fleet", description = "Directory of a running fleet").required()
    private val samples by option(ArgType.String, "samples", description = "Samples of idle daemons").required()
    private val quick by option(ArgType.Boolean, "quick", description = "Within two minutes").default(false)
    private val json by option(ArgType.Boolean, "json", description = "Print JSON in place of the table").default(false)

    override fun execute() {
        val calls = CallSlopes(FleetLayout.load(File(fleet)), if (quick) QUICK_PHASE else PHASE)
        val slopes =
            idle(IdleSample.read(File(samples))) +
                runBlocking(Dispatchers.Default) { calls.measure() } +
                StateSlopes(if (quick) 1 else FULL_SCALE).measure() +
                CpuSlopes(if (quick) QUICK_RUNS else RUNS).measure()
        if (json) println(SlopeTable.json(slopes)) else SlopeTable.lines(slopes).forEach(::println)
    }

    private fun idle(samples: List<IdleSample>): List<Slope> =
        listOf(
            idle("idle_cpu", "cpu_core_share", samples) { it.coreShare },
            idle("idle_bytes", "bytes_per_second", samples) { it.bytesPerSecond },
            idle("idle_memory", "resident_mb", samples) { it.residentMegabytes },
            idle("idle_threads", "threads", samples) { it.threads },
        )

    private fun idle(
        name: String,
        unit: String,
        samples: List<IdleSample>,
        value: (IdleSample) -> Double,
    ) = Slope(name, "any", unit, "member", samples.map { Point(it.members.toDouble(), value(it)) })

    private companion object {
        val QUICK_PHASE = 4.seconds
        val PHASE = 12.seconds
        const val QUICK_RUNS = 30
        const val RUNS = 200
        const val FULL_SCALE = 2
    }
}
