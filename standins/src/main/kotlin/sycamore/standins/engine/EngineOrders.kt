package sycamore.standins.engine

import sycamore.model.ModelName
import sycamore.services.EngineOrder
import sycamore.services.EngineRole
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What an engine answers to an order. */
sealed interface OrderAnswer {
    /** Taken; a load takes effect at [done]. */
    data class Accepted(
        val done: Duration,
    ) : OrderAnswer

    /** Refused because a higher fencing number, [highest], was seen. */
    data class Stale(
        val highest: Long,
    ) : OrderAnswer
}

/** Weights that all engines fetch, in order of request and at one rate together. */
class WeightStore(
    private val bytesPerSecond: Long = DEFAULT_RATE,
) {
    private var freeAt = Duration.ZERO

    /** When the download of [bytes] that is asked for at [now] is complete. */
    @Synchronized
    fun fetch(
        now: Duration,
        bytes: Long,
    ): Duration {
        freeAt = maxOf(freeAt, now) + (bytes.toDouble() / bytesPerSecond).seconds
        return freeAt
    }

    companion object {
        /** Bytes per second of a store whose settings name no rate. */
        const val DEFAULT_RATE = 1L shl 30
    }
}

/** The models and the role that an engine was ordered to have. */
internal class EngineOrders(
    private val spec: EngineSpec,
    private val store: WeightStore,
) {
    private val readyAt = HashMap<ModelName, Duration>().apply { spec.models.forEach { put(it, Duration.ZERO) } }
    private var highest = 0L

    var role = EngineRole.MIXED
        private set

    fun take(
        order: EngineOrder,
        now: Duration,
    ): OrderAnswer {
        if (spec.checksFencing && order.fencing < highest) return OrderAnswer.Stale(highest)
        highest = maxOf(highest, order.fencing)
        return OrderAnswer.Accepted(carryOut(order, now))
    }

    private fun carryOut(
        order: EngineOrder,
        now: Duration,
    ): Duration {
        when (order) {
            is EngineOrder.Load -> return readyAt.getOrPut(order.model) { load(now) }
            is EngineOrder.Unload -> readyAt -= order.model
            is EngineOrder.ChangeRole -> role = order.role
        }
        return now
    }

    private fun load(now: Duration): Duration {
        val copied = (spec.modelBytes.toDouble() / spec.weightsPerSecond).seconds
        return store.fetch(now, spec.modelBytes) + copied
    }

    /** The models that are ready for use. */
    fun loaded(now: Duration): Set<ModelName> = readyAt.filterValues { it <= now }.keys

    /** Whether the engine can answer with [model]. An engine that names no models answers with any. */
    fun canServe(
        model: ModelName?,
        now: Duration,
    ): Boolean = model == null || readyAt.isEmpty() || (readyAt[model] ?: Duration.INFINITE) <= now
}
