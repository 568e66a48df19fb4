package sycamore.ctl

import sycamore.model.Configuration
import sycamore.model.Contract
import sycamore.model.Digest
import sycamore.model.Service
import kotlin.math.roundToInt

/**
 * A change that could do harm while no operator is present to reverse it, and therefore has to be confirmed.
 *
 * @property name the name that `--confirm` has to give: of a service, caller or place, or `fleet`.
 * @property reason the harm that the change could do.
 */
internal data class DangerousChange(
    val name: String,
    val reason: String,
) {
    override fun toString() = "$name: $reason"
}

/** Finds the dangerous changes of a publish. */
internal object DangerousChanges {
    /** Largest share of the capacity that a publish may take away unconfirmed, of a service or of all together. */
    private const val MAX_CAPACITY_CUT = 0.3

    /** Largest share of a budget that a publish may take away unconfirmed. */
    private const val MAX_BUDGET_CUT = 0.5

    /** The name to confirm for changes of all services together. */
    private const val FLEET = "fleet"

    private val safeMethods = setOf("GET", "HEAD", "OPTIONS")
    private val allMethods = safeMethods + setOf("POST", "PUT", "PATCH", "DELETE")

    /** Finds all dangerous changes from [old] to [new], in each part and in the configuration as a whole. */
    fun between(
        old: Configuration,
        new: Configuration,
    ): List<DangerousChange> =
        buildList {
            old.services.forEach { before ->
                val after = new.service(before.name)
                if (after ==
                    null
                ) {
                    add(DangerousChange(before.name.value, "the service is removed"))
                } else {
                    addAll(service(before, after))
                }
            }
            addAll(fleet(old, new))
            addAll(accounts(old, new))
            addAll(reverts(old, new))
        }.distinct()

    private fun service(
        old: Service,
        new: Service,
    ): List<DangerousChange> {
        val name = old.name.value
        return buildList {
            cut(old.capacity.toDouble(), new.capacity.toDouble(), MAX_CAPACITY_CUT)?.let {
                add(DangerousChange(name, "capacity is cut by $it%, from ${old.capacity} to ${new.capacity}"))
            }
            addAll(budget(old, new))
            val models = old.upstreams.flatMap { it.models }.toSet() - new.upstreams.flatMap { it.models }.toSet()
            models.forEach { add(DangerousChange(name, "model $it loses its last upstream")) }
            newlyRepeatableCall(old, new)?.let {
                add(DangerousChange(name, "calls of $it may be repeated from now on"))
            }
        }
    }

    private fun budget(
        old: Service,
        new: Service,
    ): List<DangerousChange> {
        val seconds = { service: Service ->
            service.budget.elapsed.inWholeMilliseconds
                .toDouble() / MILLIS_PER_SECOND
        }
        val pairs =
            listOf(
                Triple("tokens", old.budget.tokens.toDouble(), new.budget.tokens.toDouble()),
                Triple("calls", old.budget.calls.toDouble(), new.budget.calls.toDouble()),
                Triple("elapsed seconds", seconds(old), seconds(new)),
            )
        return pairs.mapNotNull { (what, before, after) ->
            cut(before, after, MAX_BUDGET_CUT)?.let {
                DangerousChange(old.name.value, "the budget's $what are cut by $it%")
            }
        }
    }

    /** Returns by how many percent [after] is less than [before], or null if that is at most [share]. */
    private fun cut(
        before: Double,
        after: Double,
        share: Double,
    ): Int? {
        if (before <= 0.0) return null
        val lost = (before - after) / before
        return if (lost > share) (lost * PERCENT).roundToInt() else null
    }

    private class Sample(
        val method: String,
        val path: String,
    )

    /**
     * Returns a method and path whose calls are not repeated under [old] but may be repeated under [new], or null.
     * The first contract that covers a call applies to it.
     */
    private fun newlyRepeatableCall(
        old: Service,
        new: Service,
    ): String? {
        val samples = (old.contracts + new.contracts).flatMap(::samples)
        val lost =
            samples.firstOrNull { sample ->
                val before = old.contract(sample.method, sample.path)
                val after = new.contract(sample.method, sample.path)
                val wasListed = old.contracts.any { it.covers(sample.method, sample.path) }
                !before.idempotent && after.idempotent && (wasListed || sample.method !in safeMethods)
            }
        return lost?.let { "${it.method} ${it.path}" }
    }

    /** Returns calls that [contract] can affect: to its path itself and, for a pattern, to a path below it. */
    private fun samples(contract: Contract): List<Sample> {
        val methods = if (contract.method == "*") allMethods else setOf(contract.method.uppercase())
        val basePath = contract.path.removeSuffix("*")
        val paths = if (contract.path.endsWith("*")) listOf(basePath, "$basePath~") else listOf(basePath)
        return methods.flatMap { method -> paths.map { Sample(method, it) } }
    }

    private fun fleet(
        old: Configuration,
        new: Configuration,
    ): List<DangerousChange> =
        buildList {
            val before = old.services.sumOf { it.capacity }
            val after = new.services.sumOf { it.capacity }
            cut(before.toDouble(), after.toDouble(), MAX_CAPACITY_CUT)?.let {
                add(DangerousChange(FLEET, "capacity of all services together is cut by $it%, from $before to $after"))
            }
            val hosting = { configuration: Configuration ->
                configuration.services.flatMap { it.upstreams }.map { it.place }
            }
            (
                hosting(
                    old,
                ).toSet() - hosting(new).toSet()
            ).forEach { add(DangerousChange(it.value, "the place loses all its hosts")) }
        }

    private fun accounts(
        old: Configuration,
        new: Configuration,
    ): List<DangerousChange> =
        old.callers.mapNotNull { before ->
            val after = new.callers.firstOrNull { it.name == before.name }
            when {
                after == null -> DangerousChange(before.name.value, "the account is removed")
                after.keyHash != before.keyHash -> DangerousChange(before.name.value, "the account's key is replaced")
                else -> null
            }
        }

    /** Finds parts that return to what an earlier publish replaced, as files of an outdated directory do. */
    private fun reverts(
        old: Configuration,
        new: Configuration,
    ): List<DangerousChange> {
        val before = old.parts()
        return new.parts().filter { before[it.key] != it.value }.mapNotNull { (label, part) ->
            val digest: Digest = part.digest()
            val mark = old.publishes.lastOrNull { it.replaced[label] == digest }
            mark?.let {
                val reason = "goes back to what ${it.by} replaced in generation ${it.generation}; is it out of date?"
                DangerousChange(label.substringAfter(' '), "$label $reason")
            }
        }
    }

    private const val MILLIS_PER_SECOND = 1_000
    private const val PERCENT = 100
}
