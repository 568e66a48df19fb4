package sycamore.ctl

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.Generation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Waits until a generation is in force in all daemons, and shows how far it is. */
internal class Rollout(
    private val terminal: Terminal,
    private val survey: suspend () -> FleetReport?,
) {
    private var shown = ""

    /** Waits up to [within] for [generation]. */
    suspend fun await(
        generation: Generation,
        within: Duration,
    ): Exit {
        val done = withTimeoutOrNull(within) { while (!isEverywhere(generation)) delay(PERIOD) }
        if (done != null) return Exit.DONE
        terminal.note("accepted, but not seen in force everywhere within $within; see: sycamorectl status")
        return Exit.FAILED
    }

    private suspend fun isEverywhere(generation: Generation): Boolean {
        val report = survey() ?: return false
        val having = report.having(generation)
        val line = "in force in $having of ${report.daemons.size} daemons"
        if (line != shown) terminal.say(line)
        shown = line
        return having > 0 && having == report.daemons.size && report.silent.isEmpty()
    }

    private companion object {
        val PERIOD = 500.milliseconds
    }
}
