package sycamore.decisions

import sycamore.model.ModelName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Demand for one model at one upstream.
 *
 * @property work time of the upstream that the model's calls needed within the last [ModelPlan.window].
 */
data class ModelDemand(
    val model: ModelName,
    val work: Duration,
)

/** Decision on which models an upstream has loaded. */
sealed interface ModelChange {
    /** The loaded models stay as they are, because of [reason]. */
    data class Keep(
        val reason: String,
    ) : ModelChange

    /** [load] is loaded. If [unload] is not null, it is unloaded before to make room. */
    data class Swap(
        val load: ModelName,
        val unload: ModelName?,
    ) : ModelChange
}

/**
 * Rules for which model an upstream loads next. A new model has to bring clearly more work than the one it replaces,
 * the changes of one upstream are [minInterval] apart, and a load that the weight store cannot deliver soon is not
 * started.
 *
 * @property window period over which demand is counted.
 * @property factor ratio by which the work of a new model has to exceed the work of the model that it replaces.
 * @property minWork work within [window] below which a model is not worth loading.
 * @property minInterval minimum time between two changes of one upstream.
 * @property maxFetch maximum expected time that a load may wait for the weight store.
 */
data class ModelPlan(
    val window: Duration = 5.minutes,
    val factor: Double = 2.0,
    val minWork: Duration = 0.5.minutes,
    val minInterval: Duration = 10.minutes,
    val maxFetch: Duration = 5.minutes,
) {
    /**
     * Decides for an upstream that has loaded [loaded], has room for [slots] models and can load any of [loadable].
     *
     * @param sinceChange time since the upstream's last change; null when there was none.
     * @param fetch expected time to fetch a model from the weight store, given what other upstreams fetch.
     */
    fun decide(
        loaded: Set<ModelName>,
        loadable: Set<ModelName>,
        slots: Int,
        demands: List<ModelDemand>,
        sinceChange: Duration?,
        fetch: Duration,
    ): ModelChange {
        val work = demands.associate { it.model to it.work }
        val wanted = (loadable - loaded).maxByOrNull { work[it] ?: Duration.ZERO }
        val wantedWork = work[wanted] ?: Duration.ZERO
        val idlest = loaded.minByOrNull { work[it] ?: Duration.ZERO }
        val idlestWork = work[idlest] ?: Duration.ZERO
        return when {
            wanted == null || wantedWork < minWork -> ModelChange.Keep("no other model has enough work")
            sinceChange != null && sinceChange < minInterval -> ModelChange.Keep("the last change was $sinceChange ago")
            fetch > maxFetch -> ModelChange.Keep("expected weights within $maxFetch, found $fetch")
            loaded.size < slots -> ModelChange.Swap(wanted, unload = null)
            wantedWork < idlestWork * factor -> ModelChange.Keep("$idlest has $idlestWork of work, $wanted $wantedWork")
            else -> ModelChange.Swap(wanted, idlest)
        }
    }
}

/** Phase of inference that an upstream is dedicated to. */
enum class UpstreamRole { MIXED, PREFILL, DECODE }

/**
 * Rules for the role of an upstream, by the share of its time that is spent on prefill. The thresholds for taking on a
 * role and for leaving it differ, so that the role does not follow every small change.
 *
 * @property enterDistance distance from an even share at which an upstream takes on a role.
 * @property leaveDistance distance from an even share below which it leaves the role.
 */
data class RolePlan(
    val enterDistance: Double = 0.3,
    val leaveDistance: Double = 0.15,
) {
    /** The role of an upstream whose role is [current] and whose share of prefill, from 0 to 1, is [prefillShare]. */
    fun decide(
        current: UpstreamRole,
        prefillShare: Double,
    ): UpstreamRole {
        val distance = prefillShare - EVEN_SHARE
        return when {
            distance >= enterDistance -> UpstreamRole.PREFILL
            distance <= -enterDistance -> UpstreamRole.DECODE
            current == UpstreamRole.PREFILL && distance >= leaveDistance -> current
            current == UpstreamRole.DECODE && distance <= -leaveDistance -> current
            else -> UpstreamRole.MIXED
        }
    }

    private companion object {
        const val EVEN_SHARE = 0.5
    }
}
