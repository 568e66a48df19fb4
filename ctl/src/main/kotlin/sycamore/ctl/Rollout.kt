package sycamore.ctl

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.Generation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Waits until a generation is in force in all daemons, and prints the progress. */
internal class Rollout(
    private val terminal: Terminal,
    private val survey: suspend () -> FleetReport?,
) {
    private var lastLine = ""

    /** Waits up to [within] until [generation] is in force everywhere. */
    suspend fun await(
        generation: Generation,
        within: Duration,
    ): Exit {
        val done = withTimeoutOrNull(within) { while (!isInForceEverywhere(generation)) delay(POLL_INTERVAL) }
        if (done != null) return Exit.DONE
        terminal.printNotice("accepted, but not seen in force everywhere within $within; see: sycamorectl status")
        return Exit.FAILED
    }

    private suspend fun isInForceEverywhere(generation: Generation): Boolean {
        val report = survey() ?: return false
        val upToDate = report.countAtLeast(generation)
        val line = "in force in $upToDate of ${report.daemons.size} daemons"
        if (line != lastLine) terminal.printLine(line)
        lastLine = line
        return upToDate > 0 && upToDate == report.daemons.size && report.unresponsive.isEmpty()
    }

    private companion object {
        val POLL_INTERVAL = 500.milliseconds
    }
}
