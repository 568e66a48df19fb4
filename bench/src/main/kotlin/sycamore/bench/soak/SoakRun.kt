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

/** What a soak run gave. */
internal class SoakResult(
    val tally: Tally,
    val samples: List<SoakSample>,
) {
    /** Growth of each process that ran throughout. */
    val growth: List<Growth> = Growth.of(samples)
}

/** Loads a fleet whose daemons are restarted and killed meanwhile, and watches what its processes use. */
internal class SoakRun(
    private val layout: FleetLayout,
    private val callsPerSecond: Double,
    private val progress: (String) -> Unit,
) {
    /** Runs for [time]. */
    suspend fun run(time: Duration): SoakResult {
        val tally = Tally()
        val samples =
            ChatClient(CONNECTIONS).use { client ->
                LoadGenerator(client, layout.entries, ProgramShape(TURNS, MODEL, MAX_TOKENS), keepsHistory = true).use {
                    coroutineScope {
                        val watching = async { watch(time, tally) }
                        it.offer(callsPerSecond, time, tally)
                        watching.await()
                    }
                }
            }
        return SoakResult(tally, samples)
    }

    private suspend fun watch(
        time: Duration,
        tally: Tally,
    ): List<SoakSample> {
        val start = TimeSource.Monotonic.markNow()
        val samples = ArrayList<SoakSample>()
        while (true) {
            delay(PERIOD)
            val at = start.elapsedNow()
            if (at > time) return samples
            samples += ProcessUsage.of(layout).map { SoakSample.of(it, at) }
            progress("${at.inWholeSeconds} s: ${tally.answers} answers, ${tally.errors} errors")
        }
    }

    private companion object {
        const val CONNECTIONS = 256
        const val MODEL = "wheel-7b"
        const val TURNS = 4
        const val MAX_TOKENS = 16
        val PERIOD = 5.seconds
    }
}
