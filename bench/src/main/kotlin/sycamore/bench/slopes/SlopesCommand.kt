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

/** `sycamore-bench idle`: measures the idle daemons of a running fleet and appends the sample to a file. */
internal class IdleCommand : Subcommand("idle", "Sample the idle daemons of a running fleet") {
    private val fleet by option(ArgType.String, "fleet", description = "Directory of a running fleet").required()
    private val samples by option(ArgType.String, "samples", description = "File to append a line to").required()
    private val seconds by option(ArgType.Int, "seconds", description = "Seconds to measure").default(20)

    override fun execute() {
        val layout = FleetLayout.load(File(fleet))
        val sample = runBlocking { IdleSample.measure(layout, seconds.seconds) }
        File(samples).appendText(sample.toCsvLine() + "\n")
    }
}

/**
 * `sycamore-bench slopes`: measures how state, bytes and processor time grow with each size.
 *
 * `bin/sycamore-bench` starts the fleets.
 */
internal class SlopesCommand : Subcommand("slopes", "Measure how each role's cost grows with each size") {
    private val fleet by option(ArgType.String, "fleet", description = "Directory of a running fleet").required()
    private val samples by option(ArgType.String, "samples", description = "Samples of idle daemons").required()
    private val quick by option(ArgType.Boolean, "quick", description = "Take less than two minutes").default(false)
    private val json by option(ArgType.Boolean, "json", description = "Print JSON in place of the table").default(false)

    override fun execute() {
        val calls = CallSlopes(FleetLayout.load(File(fleet)), if (quick) QUICK_LOAD_TIME else LOAD_TIME)
        val slopes =
            idleSlopes(IdleSample.readCsv(File(samples))) +
                runBlocking(Dispatchers.Default) { calls.measure() } +
                StateSlopes(if (quick) 1 else FULL_SIZE_FACTOR).measure() +
                CpuSlopes(if (quick) QUICK_ITERATIONS else ITERATIONS).measure()
        if (json) println(SlopeTable.json(slopes)) else SlopeTable.lines(slopes).forEach(::println)
    }

    private fun idleSlopes(samples: List<IdleSample>): List<Slope> =
        listOf(
            idleSlope("idle_cpu", "cpu_core_share", samples) { it.coreShare },
            idleSlope("idle_bytes", "bytes_per_second", samples) { it.bytesPerSecond },
            idleSlope("idle_memory", "resident_mb", samples) { it.residentMegabytes },
            idleSlope("idle_threads", "threads", samples) { it.threads },
        )

    private fun idleSlope(
        name: String,
        unit: String,
        samples: List<IdleSample>,
        value: (IdleSample) -> Double,
    ) = Slope(name, "any", unit, "member", samples.map { Point(it.members.toDouble(), value(it)) })

    private companion object {
        val QUICK_LOAD_TIME = 4.seconds
        val LOAD_TIME = 12.seconds
        const val QUICK_ITERATIONS = 30
        const val ITERATIONS = 200
        const val FULL_SIZE_FACTOR = 2
    }
}
