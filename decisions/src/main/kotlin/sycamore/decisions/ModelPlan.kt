package sycamore.decisions

import sycamore.model.ModelName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Demand for one model at one upstream.
 *
 * @property work time of the upstream that the model's calls asked for within the last [ModelPlan.window].
 */
data class ModelDemand(
    val model: ModelName,
    val work: Duration,
)

/** What an upstream should do about its models. */
sealed interface ModelChange {
    /** Nothing: [reason]. */
    data class Keep(
        val reason: String,
    ) : ModelChange

    /** Load [load], after [unload] has made room for it if it is not null. */
    data class Swap(
        val load: ModelName,
        val unload: ModelName?,
    ) : ModelChange
}

/**
 * Which model an upstream loads next. A change has to be asked for by clearly more work than what it replaces, the loads
 * of one upstream are apart in time, and a load that the weight store could not deliver soon is not begun.
 *
 * @property window over which demand is counted.
 * @property factor how much more work a new model has to bring than the one that it replaces.
 * @property least work within [window] below which a model is not worth a load.
 * @property rest between two changes of one upstream.
 * @property longestFetch how long a load may wait for the weight store.
 */
data class ModelPlan(
    val window: Duration = 5.minutes,
    val factor: Double = 2.0,
    val least: Duration = 0.5.minutes,
    val rest: Duration = 10.minutes,
    val longestFetch: Duration = 5.minutes,
) {
    /**
     * Decides for an upstream that has [loaded], with room for [slots] models and the choice of [loadable].
     *
     * @param sinceChange since its last change; null when there was none.
     * @param fetch expected time to get a model from the weight store, by what other upstreams fetch.
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
            wanted == null || wantedWork < least -> ModelChange.Keep("no other model is asked for")
            sinceChange != null && sinceChange < rest -> ModelChange.Keep("the last change was $sinceChange ago")
            fetch > longestFetch -> ModelChange.Keep("expected weights within $longestFetch, found $fetch")
            loaded.size < slots -> ModelChange.Swap(wanted, unload = null)
            wantedWork < idlestWork * factor -> ModelChange.Keep("$idlest has $idlestWork of work, $wanted $wantedWork")
            else -> ModelChange.Swap(wanted, idlest)
        }
    }
}

/** What part of the work an upstream is set up for. */
enum class UpstreamRole { MIXED, PREFILL, DECODE }

/**
 * Which role an upstream has, by the share of its time that goes into prefill. The limits to take on a role and to give
 * it up differ, so that the role does not follow every small change.
 *
 * @property takeOn distance from an even share at which an upstream takes on a role.
 * @property giveUp distance below which it gives the role up.
 */
data class RolePlan(
    val takeOn: Double = 0.3,
    val giveUp: Double = 0.15,
) {
    /** The role for [prefillShare], from 0 to 1, of an upstream that has [current]. */
    fun decide(
        current: UpstreamRole,
        prefillShare: Double,
    ): UpstreamRole {
        val distance = prefillShare - EVEN
        return when {
            distance >= takeOn -> UpstreamRole.PREFILL
            distance <= -takeOn -> UpstreamRole.DECODE
            current == UpstreamRole.PREFILL && distance >= giveUp -> current
            current == UpstreamRole.DECODE && distance <= -giveUp -> current
            else -> UpstreamRole.MIXED
        }
    }

    private companion object {
        const val EVEN = 0.5
    }
}
