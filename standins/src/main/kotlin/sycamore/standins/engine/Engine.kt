package sycamore.standins.engine

import sycamore.model.ModelName
import sycamore.services.CacheEvent
import sycamore.services.CacheListing
import sycamore.services.EngineLoad
import sycamore.services.EngineOrder
import sycamore.services.EngineRole
import sycamore.services.ExportedCache
import sycamore.services.ExportedSpan
import kotlin.time.Duration

/**
 * Totals since the engine's start.
 *
 * @property busy the time spent in steps.
 * @property computedTokens the prompt tokens of finished calls that were computed.
 * @property cachedTokens the prompt tokens of finished calls that were found in the cache.
 */
data class EngineStatistics(
    val busy: Duration,
    val computedTokens: Long,
    val cachedTokens: Long,
)

/**
 * A simulation of a model engine, with continuous batching in order of arrival, a prefix cache in limited memory,
 * delayed cache events, and orders. It has no clock: the caller passes the time since the engine's start to each
 * operation.
 *
 * @param onSteps called with the duration and number of the simulated steps, and the number of decoding sequences.
 */
class Engine(
    val spec: EngineSpec,
    faults: EngineFaults = EngineFaults(),
    store: WeightStore = WeightStore(),
    onSteps: (step: Duration, steps: Long, sequences: Int) -> Unit = { _, _, _ -> },
) {
    private var now = Duration.ZERO
    private val events = CacheEvents(faults)
    private val cache = PrefixCache(spec.memoryTokens) { program, tokens -> events.add(now, program, tokens) }
    private val batch = EngineBatch(spec, cache, onSteps)
    private val orders = EngineOrders(spec, store)
    private val load = DelayedLoad(faults.loadLag)
    private val calls = HashMap<String, RunningCall>()
    private var computedTokens = 0L
    private var cachedTokens = 0L

    /** Submits [call] at time [at]. If a call with the same id is known, returns that one and runs nothing. */
    @Synchronized
    fun submit(
        call: EngineCall,
        at: Duration,
    ): RunningCall {
        calls[call.id]?.let { return it }
        advanceTo(at)
        val running = RunningCall(call, at)
        calls[call.id] = running
        val reason = rejectionReason(call)
        if (reason == null) batch.submit(running) else running.end.complete(CallEnd.Rejected(reason))
        advanceTo(at)
        return running
    }

    private fun rejectionReason(call: EngineCall): String? =
        when {
            !orders.canServe(call.model, now) -> "model ${call.model} is not loaded"
            call.promptTokens.toLong() + call.answer.tokens > spec.memoryTokens ->
                "expected at most ${spec.memoryTokens} tokens, found ${call.promptTokens + call.answer.tokens}"
            else -> null
        }

    /**
     * Simulates the engine up to [at]. Returns the time by which this function is to be called again, or null if
     * the batch is empty.
     *
     * @param eachStep whether to publish the progress of the calls, and return the end of the next step instead of
     *   the time of the batch's next change.
     */
    @Synchronized
    fun advance(
        at: Duration,
        eachStep: Boolean = false,
    ): Duration? {
        advanceTo(at)
        if (!eachStep) return batch.timeOfNextChange()
        batch.publishProgress()
        return batch.endOfStep()
    }

    private fun advanceTo(at: Duration) {
        now = maxOf(now, at)
        batch.advance(at)
        load.add(now, currentLoad())
    }

    private fun currentLoad() =
        EngineLoad(
            batch.queued,
            batch.running,
            cache.storedTokens + cache.reservedTokens,
            spec.memoryTokens,
            orders.loaded(now),
        )

    /** The call with [id], or null if it is not known. */
    @Synchronized
    fun find(id: String): RunningCall? = calls[id]

    /** Cancels the call with [id]. Returns false if no such call is in progress. */
    @Synchronized
    fun cancel(
        id: String,
        at: Duration,
    ): Boolean {
        advanceTo(at)
        val call = calls[id]?.takeIf { it.end.isActive } ?: return false
        batch.cancel(call)
        advanceTo(at)
        return true
    }

    /** Simulates a restart, which cancels all calls and clears the cache. */
    @Synchronized
    fun crash(at: Duration) {
        advanceTo(at)
        calls.values.filter { it.end.isActive }.forEach(batch::cancel)
        calls.clear()
        cache.listing().keys.forEach(cache::evict)
        cache.clear()
    }

    /** Removes [call], which has ended, so that its id is no longer known. */
    @Synchronized
    fun discard(call: RunningCall) {
        calls -= call.call.id
    }

    /** Adds the tokens of a finished call to the statistics. */
    @Synchronized
    fun recordUsage(end: CallEnd.Finished) {
        computedTokens += end.computedTokens
        cachedTokens += end.cachedTokens
    }

    /** Evicts the cache blocks of [program] that no running call uses. Returns the number of freed tokens. */
    @Synchronized
    fun evict(
        program: String,
        at: Duration,
    ): Long {
        advanceTo(at)
        return cache.evict(program).also { advanceTo(at) }
    }

    /** The cache events with a number above [number] that are visible at [at]. */
    @Synchronized
    fun eventsAfter(
        number: Long,
        at: Duration,
    ): List<CacheEvent> = events.visibleAfter(number, at)

    /** The tokens in the cache by program. */
    @Synchronized
    fun listing(): CacheListing = CacheListing(events.lastNumber, cache.listing())

    /** The load as the engine reports it at [at], which is older than the actual one. */
    @Synchronized
    fun reportedLoad(at: Duration): EngineLoad {
        advanceTo(at)
        return load.reportedAt(at)
    }

    /** The totals of the work so far. */
    @Synchronized
    fun statistics(): EngineStatistics = EngineStatistics(batch.busy, computedTokens, cachedTokens)

    /** Executes [order]. */
    @Synchronized
    fun execute(
        order: EngineOrder,
        at: Duration,
    ): OrderResult = orders.execute(order, at).also { batch.role = orders.role }

    /** The models that are ready for use at [at]. */
    @Synchronized
    fun models(at: Duration): Set<ModelName> = orders.loaded(at)

    /** The current role of the engine. */
    @Synchronized
    fun role(): EngineRole = orders.role

    /** Exports the cache blocks of [program]. */
    @Synchronized
    fun export(program: String): ExportedCache {
        val spans = cache.spansOf(program)
        return ExportedCache(
            program,
            spans.map { ExportedSpan(it.id, it.tokens) },
            spans.sumOf { it.tokens } * spec.bytesPerToken,
        )
    }

    /** Stores cache blocks that another engine has exported. */
    @Synchronized
    fun import(
        exported: ExportedCache,
        at: Duration,
    ) {
        advanceTo(at)
        cache.store(exported.spans.map { PromptSpan(it.id, it.tokens) }, exported.program, isPinned = false)
    }
}
