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

/** Sums over the steps that an engine has taken. */
data class EngineStatistics(
    val busy: Duration,
    val computedTokens: Long,
    val cachedTokens: Long,
)

/**
 * A small model of a model engine: continuous batching in arrival order, a prefix cache in limited memory, late cache
 * events and orders. It keeps no clock: each operation is told the time since the engine's start.
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
    private val load = LaggingLoad(faults.loadLag)
    private val calls = HashMap<String, RunningCall>()
    private var computed = 0L
    private var cached = 0L

    /** Takes [call] at [at]. A call whose id is known already is not run again. */
    @Synchronized
    fun submit(
        call: EngineCall,
        at: Duration,
    ): RunningCall {
        calls[call.id]?.let { return it }
        step(at)
        val running = RunningCall(call, at)
        calls[call.id] = running
        val refused = reasonAgainst(call)
        if (refused == null) batch.submit(running) else running.end.complete(CallEnd.Impossible(refused))
        step(at)
        return running
    }

    private fun reasonAgainst(call: EngineCall): String? =
        when {
            !orders.canServe(call.model, now) -> "model ${call.model} is not loaded"
            call.promptTokens.toLong() + call.answer.tokens > spec.memoryTokens ->
                "expected at most ${spec.memoryTokens} tokens, found ${call.promptTokens + call.answer.tokens}"
            else -> null
        }

    /** Moves on to [at]; returns when to come back at the latest, or null when there is nothing to do. */
    @Synchronized
    fun advance(
        at: Duration,
        eachStep: Boolean = false,
    ): Duration? {
        step(at)
        if (!eachStep) return batch.nextChange()
        batch.report()
        return batch.nextStep()
    }

    private fun step(at: Duration) {
        now = maxOf(now, at)
        batch.advance(at)
        load.add(now, currentLoad())
    }

    private fun currentLoad() =
        EngineLoad(batch.queued, batch.running, cache.stored + cache.reserved, spec.memoryTokens, orders.loaded(now))

    /** The call known as [id], or null. */
    @Synchronized
    fun find(id: String): RunningCall? = calls[id]

    /** Cancels the call known as [id]; returns false when there is none in progress. */
    @Synchronized
    fun cancel(
        id: String,
        at: Duration,
    ): Boolean {
        step(at)
        val call = calls[id]?.takeIf { it.end.isActive } ?: return false
        batch.cancel(call)
        step(at)
        return true
    }

    /** Loses all calls and the whole cache, as in a restart. */
    @Synchronized
    fun crash(at: Duration) {
        step(at)
        calls.values.filter { it.end.isActive }.forEach(batch::cancel)
        calls.clear()
        cache.listing().keys.forEach(cache::evict)
        cache.clear()
    }

    /** Forgets [call], which has ended. */
    @Synchronized
    fun forget(call: RunningCall) {
        calls -= call.call.id
    }

    /** Adds up what [end] cost. */
    @Synchronized
    fun account(end: CallEnd.Finished) {
        computed += end.computedTokens
        cached += end.cachedTokens
    }

    /** Drops all idle blocks of [program]; returns the tokens that became free. */
    @Synchronized
    fun evict(
        program: String,
        at: Duration,
    ): Long {
        step(at)
        return cache.evict(program).also { step(at) }
    }

    /** The visible cache events above [number]. */
    @Synchronized
    fun eventsAfter(
        number: Long,
        at: Duration,
    ): List<CacheEvent> = events.above(number, at)

    /** All that the cache holds. */
    @Synchronized
    fun listing(): CacheListing = CacheListing(events.last, cache.listing())

    /** The load as the engine reports it. */
    @Synchronized
    fun reportedLoad(at: Duration): EngineLoad {
        step(at)
        return load.at(at)
    }

    /** What the engine has done so far. */
    @Synchronized
    fun use(): EngineStatistics = EngineStatistics(batch.busy, computed, cached)

    /** Carries out [order]. */
    @Synchronized
    fun order(
        order: EngineOrder,
        at: Duration,
    ): OrderAnswer = orders.take(order, at).also { batch.role = orders.role }

    /** The models ready for use at [at]. */
    @Synchronized
    fun models(at: Duration): Set<ModelName> = orders.loaded(at)

    /** The role that the engine has. */
    @Synchronized
    fun role(): EngineRole = orders.role

    /** The cache of [program]. */
    @Synchronized
    fun export(program: String): ExportedCache {
        val spans = cache.spansOf(program)
        return ExportedCache(
            program,
            spans.map { ExportedSpan(it.id, it.tokens) },
            spans.sumOf { it.tokens } * spec.bytesPerToken,
        )
    }

    /** Takes over [exported] from another engine. */
    @Synchronized
    fun import(
        exported: ExportedCache,
        at: Duration,
    ) {
        step(at)
        cache.store(exported.spans.map { PromptSpan(it.id, it.tokens) }, exported.program, pinnedToo = false)
    }
}
