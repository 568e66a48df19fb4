package sycamore.bench.history

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import sycamore.model.HostName
import sycamore.standins.FaultyKeyValue
import sycamore.standins.KeyValueFaults
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The kinds of faults and of operators' actions that a run draws from. [text] names it on the command line. */
internal enum class FaultKind(
    val text: String,
    val isPlanned: Boolean = false,
) {
    KILL_HOST("kill-host"),
    KILL_ENTRY("kill-entry"),
    PAUSE_HOST("pause-host"),
    KEY_VALUE_DOWN("key-value-down"),
    KEY_VALUE_SLOW("key-value-slow"),
    LOST_ANSWERS("lost-answers"),
    PART_REGION("part-region"),
    SILENT_LINK("silent-link"),
    HANG_UPSTREAM("hang-upstream"),
    STOP_HOST("stop-host", isPlanned = true),
    STOP_ENTRY("stop-entry", isPlanned = true),
    PUBLISH("publish", isPlanned = true),
    ;

    companion object {
        /** The kind called [text], or null. */
        fun of(text: String): FaultKind? = entries.firstOrNull { it.text == text }
    }
}

/** How long the key-value service takes for a call when nothing is wrong. */
internal val KEY_VALUE_LATENCY: Duration = 3.milliseconds

/** Draws faults from a seed and carries them out on [fleet] until cancelled. */
internal class Faults(
    private val kinds: List<FaultKind>,
    private val random: Random,
    private val state: FaultState,
    private val keys: FaultyKeyValue,
    private val fleet: Fleet,
    private val recorder: Recorder,
) {
    /** How many faults began. */
    var count = 0
        private set

    /** Begins one fault after another, so that some overlap. */
    suspend fun run(scope: CoroutineScope) {
        if (kinds.isEmpty()) return
        while (true) {
            delay(between(MIN_GAP_MILLIS, MAX_GAP_MILLIS))
            val kind = kinds.random(random)
            count++
            scope.launch { carryOut(kind) }
        }
    }

    private suspend fun carryOut(kind: FaultKind) {
        when (kind) {
            FaultKind.KILL_HOST -> kill(kind, fleet.hosts)
            FaultKind.KILL_ENTRY -> kill(kind, fleet.entries)
            FaultKind.PAUSE_HOST -> pause(kind)
            FaultKind.KEY_VALUE_DOWN -> switchKeys(kind, { it.copy(down = true) }, { it.copy(down = false) })
            FaultKind.KEY_VALUE_SLOW -> slowKeys(kind)
            FaultKind.LOST_ANSWERS ->
                switchKeys(kind, { it.copy(lostAnswers = Int.MAX_VALUE) }, { it.copy(lostAnswers = 0) })
            FaultKind.PART_REGION -> part(kind)
            FaultKind.SILENT_LINK -> silence(kind)
            FaultKind.HANG_UPSTREAM -> hang(kind)
            FaultKind.STOP_HOST -> fleet.hosts.random(random).let { stop(it) }
            FaultKind.STOP_ENTRY -> fleet.entries.random(random).let { stop(it) }
            FaultKind.PUBLISH -> fleet.publish()
        }
    }

    private suspend fun kill(
        kind: FaultKind,
        among: List<HostName>,
    ) {
        val host = among.random(random)
        if (!fleet.isUp(host)) return
        during(kind, setOf(host), { fleet.kill(host) }, { fleet.start(host) })
    }

    private suspend fun pause(kind: FaultKind) {
        val host = fleet.hosts.random(random)
        if (!fleet.isUp(host)) return
        val process = fleet.process(host)
        during(kind, setOf(host), { process.pause() }, { process.resume() })
    }

    private suspend fun slowKeys(kind: FaultKind) {
        val more = between(MIN_SLOW_MILLIS, MAX_SLOW_MILLIS)
        switchKeys(kind, { it.copy(delay = KEY_VALUE_LATENCY + more) }, { it.copy(delay = KEY_VALUE_LATENCY) })
    }

    private suspend fun switchKeys(
        kind: FaultKind,
        begin: (KeyValueFaults) -> KeyValueFaults,
        end: (KeyValueFaults) -> KeyValueFaults,
    ) = during(kind, emptySet(), { keys.setFaults(begin) }, { keys.setFaults(end) })

    private suspend fun part(kind: FaultKind) {
        if (state.partedRegion != null) return
        val region = fleet.regions.random(random)
        during(kind, emptySet(), { state.partedRegion = region }, { state.partedRegion = null })
    }

    private suspend fun silence(kind: FaultKind) {
        val pair = setOf((fleet.hosts + fleet.entries).random(random), fleet.hosts.random(random))
        during(kind, pair, { state.silent += pair }, { state.silent -= pair })
    }

    private suspend fun hang(kind: FaultKind) {
        val host = fleet.hosts.random(random)
        during(kind, setOf(host), { state.hung += host }, { state.hung -= host })
    }

    private suspend fun stop(host: HostName) {
        if (!fleet.isUp(host)) return
        fleet.stop(host)
        delay(between(MIN_LENGTH_MILLIS, MAX_LENGTH_MILLIS))
        if (!fleet.isUp(host)) fleet.start(host)
    }

    private suspend fun during(
        kind: FaultKind,
        hosts: Set<HostName>,
        begin: suspend () -> Unit,
        end: suspend () -> Unit,
    ) {
        recorder.record { FaultBegan(it, kind.text, hosts) }
        begin()
        delay(between(MIN_LENGTH_MILLIS, MAX_LENGTH_MILLIS))
        end()
        delay(AFTERMATH)
        recorder.record { FaultEnded(it, kind.text, hosts) }
    }

    private fun between(
        least: Int,
        most: Int,
    ): Duration = random.nextInt(least, most).milliseconds

    private companion object {
        const val MIN_GAP_MILLIS = 500
        const val MAX_GAP_MILLIS = 8_000
        const val MIN_LENGTH_MILLIS = 200
        const val MAX_LENGTH_MILLIS = 15_000
        const val MIN_SLOW_MILLIS = 50
        const val MAX_SLOW_MILLIS = 3_000

        /** How long after its end a fault may still be felt, since lost links and hosts are noticed late. */
        val AFTERMATH: Duration = 5_000.milliseconds
    }
}
