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

/**
 * A kind of fault or operator's action that a run may draw.
 *
 * @property text the name on the command line.
 * @property isPlanned whether it is a regular action of an operator rather than a fault.
 */
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
        /** The kind whose name is [text], or null. */
        fun parse(text: String): FaultKind? = entries.firstOrNull { it.text == text }
    }
}

/** The latency of a call of the key-value service without faults. */
internal val KEY_VALUE_LATENCY: Duration = 3.milliseconds

/** Draws faults with a seeded random generator and injects them into [fleet] until cancelled. */
internal class Faults(
    private val kinds: List<FaultKind>,
    private val random: Random,
    private val state: FaultState,
    private val keys: FaultyKeyValue,
    private val fleet: Fleet,
    private val recorder: Recorder,
) {
    /** The number of faults that were begun. */
    var count = 0
        private set

    /** Begins faults at random intervals without waiting for the previous one to end, so that some overlap. */
    suspend fun run(scope: CoroutineScope) {
        if (kinds.isEmpty()) return
        while (true) {
            delay(randomDuration(MIN_GAP_MILLIS, MAX_GAP_MILLIS))
            val kind = kinds.random(random)
            count++
            scope.launch { runFault(kind) }
        }
    }

    private suspend fun runFault(kind: FaultKind) {
        when (kind) {
            FaultKind.KILL_HOST -> kill(kind, fleet.hosts)
            FaultKind.KILL_ENTRY -> kill(kind, fleet.entries)
            FaultKind.PAUSE_HOST -> pause(kind)
            FaultKind.KEY_VALUE_DOWN -> withKeyValueFaults(kind, { it.copy(down = true) }, { it.copy(down = false) })
            FaultKind.KEY_VALUE_SLOW -> slowKeyValue(kind)
            FaultKind.LOST_ANSWERS ->
                withKeyValueFaults(kind, { it.copy(lostAnswers = Int.MAX_VALUE) }, { it.copy(lostAnswers = 0) })
            FaultKind.PART_REGION -> isolateRegion(kind)
            FaultKind.SILENT_LINK -> silenceLink(kind)
            FaultKind.HANG_UPSTREAM -> hangUpstream(kind)
            FaultKind.STOP_HOST -> fleet.hosts.random(random).let { stop(it) }
            FaultKind.STOP_ENTRY -> fleet.entries.random(random).let { stop(it) }
            FaultKind.PUBLISH -> fleet.publish()
        }
    }

    private suspend fun kill(
        kind: FaultKind,
        candidates: List<HostName>,
    ) {
        val host = candidates.random(random)
        if (!fleet.isUp(host)) return
        inject(kind, setOf(host), { fleet.kill(host) }, { fleet.start(host) })
    }

    private suspend fun pause(kind: FaultKind) {
        val host = fleet.hosts.random(random)
        if (!fleet.isUp(host)) return
        val process = fleet.daemonOn(host)
        inject(kind, setOf(host), { process.pause() }, { process.resume() })
    }

    private suspend fun slowKeyValue(kind: FaultKind) {
        val slowdown = randomDuration(MIN_SLOWDOWN_MILLIS, MAX_SLOWDOWN_MILLIS)
        withKeyValueFaults(
            kind,
            { it.copy(delay = KEY_VALUE_LATENCY + slowdown) },
            { it.copy(delay = KEY_VALUE_LATENCY) },
        )
    }

    private suspend fun withKeyValueFaults(
        kind: FaultKind,
        begin: (KeyValueFaults) -> KeyValueFaults,
        end: (KeyValueFaults) -> KeyValueFaults,
    ) = inject(kind, emptySet(), { keys.setFaults(begin) }, { keys.setFaults(end) })

    private suspend fun isolateRegion(kind: FaultKind) {
        if (state.isolatedRegion != null) return
        val region = fleet.regions.random(random)
        inject(kind, emptySet(), { state.isolatedRegion = region }, { state.isolatedRegion = null })
    }

    private suspend fun silenceLink(kind: FaultKind) {
        val pair = setOf((fleet.hosts + fleet.entries).random(random), fleet.hosts.random(random))
        inject(kind, pair, { state.silentLinks += pair }, { state.silentLinks -= pair })
    }

    private suspend fun hangUpstream(kind: FaultKind) {
        val host = fleet.hosts.random(random)
        inject(kind, setOf(host), { state.hungHosts += host }, { state.hungHosts -= host })
    }

    private suspend fun stop(host: HostName) {
        if (!fleet.isUp(host)) return
        fleet.stop(host)
        delay(randomDuration(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS))
        if (!fleet.isUp(host)) fleet.start(host)
    }

    private suspend fun inject(
        kind: FaultKind,
        hosts: Set<HostName>,
        begin: suspend () -> Unit,
        end: suspend () -> Unit,
    ) {
        recorder.record { FaultBegan(it, kind.text, hosts) }
        begin()
        delay(randomDuration(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS))
        end()
        delay(FAULT_AFTEREFFECT)
        recorder.record { FaultEnded(it, kind.text, hosts) }
    }

    private fun randomDuration(
        least: Int,
        most: Int,
    ): Duration = random.nextInt(least, most).milliseconds

    private companion object {
        const val MIN_GAP_MILLIS = 500
        const val MAX_GAP_MILLIS = 8_000
        const val MIN_FAULT_MILLIS = 200
        const val MAX_FAULT_MILLIS = 15_000
        const val MIN_SLOWDOWN_MILLIS = 50
        const val MAX_SLOWDOWN_MILLIS = 3_000

        /** How long a fault may have effects after its end, since lost links and hosts are detected with a delay. */
        val FAULT_AFTEREFFECT: Duration = 5_000.milliseconds
    }
}
