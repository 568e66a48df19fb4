package sycamore.bench.soak

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import sycamore.bench.fleet.FleetLayout
import sycamore.bench.fleet.ProcessUsage
import sycamore.bench.load.ChatClient
import sycamore.bench.load.LoadGenerator
import sycamore.bench.load.ProgramShape
import sycamore.bench.load.Tally
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** The result of a soak run. */
internal class SoakResult(
    val tally: Tally,
    val samples: List<SoakSample>,
) {
    /** The growth of each process that ran throughout, without a restart. */
    val growth: List<Growth> = Growth.ofProcesses(samples)
}

/** Applies load to a fleet whose daemons are restarted and killed meanwhile, and samples its processes' usage. */
internal class SoakRun(
    private val layout: FleetLayout,
    private val callsPerSecond: Double,
    private val progress: (String) -> Unit,
) {
    /** Applies load for [time]. */
    suspend fun run(time: Duration): SoakResult {
        val tally = Tally()
        val samples =
            ChatClient(CONNECTIONS).use { client ->
                LoadGenerator(client, layout.entries, ProgramShape(TURNS, MODEL, MAX_TOKENS), keepsHistory = true).use {
                    coroutineScope {
                        val sampling = async { sampleUsage(time, tally) }
                        it.offer(callsPerSecond, time, tally)
                        sampling.await()
                    }
                }
            }
        return SoakResult(tally, samples)
    }

    private suspend fun sampleUsage(
        time: Duration,
        tally: Tally,
    ): List<SoakSample> {
        val start = TimeSource.Monotonic.markNow()
        val samples = ArrayList<SoakSample>()
        while (true) {
            delay(SAMPLE_INTERVAL)
            val at = start.elapsedNow()
            if (at > time) return samples
            samples += ProcessUsage.read(layout).map { SoakSample.fromUsage(it, at) }
            progress("${at.inWholeSeconds} s: ${tally.answers} answers, ${tally.errors} errors")
        }
    }

    private companion object {
        const val CONNECTIONS = 256
        const val MODEL = "wheel-7b"
        const val TURNS = 4
        const val MAX_TOKENS = 16
        val SAMPLE_INTERVAL = 5.seconds
    }
}
