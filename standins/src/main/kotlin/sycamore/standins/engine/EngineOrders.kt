package sycamore.standins.engine

import sycamore.model.ModelName
import sycamore.services.EngineOrder
import sycamore.services.EngineRole
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The result of an order to a simulated engine. */
sealed interface OrderResult {
    /** The order was accepted. It takes effect at [effectiveAt], which for a load is the end of the loading. */
    data class Accepted(
        val effectiveAt: Duration,
    ) : OrderResult

    /** The order was refused because an order with the higher fencing number [highest] was received before. */
    data class Stale(
        val highest: Long,
    ) : OrderResult
}

/** A store of model weights. It serves the engines' downloads one after another at [bytesPerSecond]. */
class WeightStore(
    private val bytesPerSecond: Long = DEFAULT_BYTES_PER_SECOND,
) {
    private var freeAt = Duration.ZERO

    /** Queues a download of [bytes] that is requested at [now]. Returns when it is complete. */
    @Synchronized
    fun download(
        now: Duration,
        bytes: Long,
    ): Duration {
        freeAt = maxOf(freeAt, now) + (bytes.toDouble() / bytesPerSecond).seconds
        return freeAt
    }

    companion object {
        /** Rate of a store whose settings give none. */
        const val DEFAULT_BYTES_PER_SECOND = 1L shl 30
    }
}

/** Executes the orders to one engine, and holds its loaded models and its role. */
internal class EngineOrders(
    private val spec: EngineSpec,
    private val store: WeightStore,
) {
    private val readyAt = HashMap<ModelName, Duration>().apply { spec.models.forEach { put(it, Duration.ZERO) } }
    private var highest = 0L

    var role = EngineRole.MIXED
        private set

    fun execute(
        order: EngineOrder,
        now: Duration,
    ): OrderResult {
        if (spec.checksFencing && order.fencing < highest) return OrderResult.Stale(highest)
        highest = maxOf(highest, order.fencing)
        return OrderResult.Accepted(applyOrder(order, now))
    }

    private fun applyOrder(
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
        val loadTime = (spec.modelBytes.toDouble() / spec.weightsPerSecond).seconds
        return store.download(now, spec.modelBytes) + loadTime
    }

    /** The models that are ready for use at [now]. */
    fun loaded(now: Duration): Set<ModelName> = readyAt.filterValues { it <= now }.keys

    /** Whether the engine can serve [model]. An engine that has no models at all serves any. */
    fun canServe(
        model: ModelName?,
        now: Duration,
    ): Boolean = model == null || readyAt.isEmpty() || (readyAt[model] ?: Duration.INFINITE) <= now
}
