package sycamore.ctl

import sycamore.model.Configuration
import sycamore.model.Contract
import sycamore.model.Digest
import sycamore.model.Service
import kotlin.math.roundToInt

/**
 * A change that could do harm while nobody is present to reverse it.
 *
 * @property name what `--confirm` has to name: a service, caller or place.
 */
internal data class Danger(
    val name: String,
    val reason: String,
) {
    override fun toString() = "$name: $reason"
}

/** Finds the dangerous changes of a publish. */
internal object Dangers {
    /** Share of a service's capacity that a publish may take away unconfirmed. */
    private const val CAPACITY_SHARE = 0.3

    /** Share of a budget that a publish may take away unconfirmed. */
    private const val BUDGET_SHARE = 0.5

    /** What `--confirm` names for changes of all services together. */
    private const val FLEET = "fleet"

    private val safeMethods = setOf("GET", "HEAD", "OPTIONS")
    private val allMethods = safeMethods + setOf("POST", "PUT", "PATCH", "DELETE")

    /** All dangers of going from [old] to [new], looking at both whole. */
    fun between(
        old: Configuration,
        new: Configuration,
    ): List<Danger> =
        buildList {
            old.services.forEach { before ->
                val after = new.service(before.name)
                if (after ==
                    null
                ) {
                    add(Danger(before.name.value, "the service is removed"))
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
    ): List<Danger> {
        val name = old.name.value
        return buildList {
            cut(old.capacity.toDouble(), new.capacity.toDouble(), CAPACITY_SHARE)?.let {
                add(Danger(name, "capacity is cut by $it%, from ${old.capacity} to ${new.capacity}"))
            }
            addAll(budget(old, new))
            val models = old.upstreams.flatMap { it.models }.toSet() - new.upstreams.flatMap { it.models }.toSet()
            models.forEach { add(Danger(name, "model $it loses its last upstream")) }
            repeatable(old, new)?.let { add(Danger(name, "calls of $it may be repeated from now on")) }
        }
    }

    private fun budget(
        old: Service,
        new: Service,
    ): List<Danger> {
        val seconds = { service: Service ->
            service.budget.elapsed.inWholeMilliseconds
                .toDouble() / MILLIS
        }
        val pairs =
            listOf(
                Triple("tokens", old.budget.tokens.toDouble(), new.budget.tokens.toDouble()),
                Triple("calls", old.budget.calls.toDouble(), new.budget.calls.toDouble()),
                Triple("elapsed seconds", seconds(old), seconds(new)),
            )
        return pairs.mapNotNull { (what, before, after) ->
            cut(before, after, BUDGET_SHARE)?.let { Danger(old.name.value, "the budget's $what are cut by $it%") }
        }
    }

    /** By how many percent [after] is less than [before], if that is more than [share]. */
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

    /** A method and path that [old] guards against repeats and [new] does not; the first contract that fits holds. */
    private fun repeatable(
        old: Service,
        new: Service,
    ): String? {
        val samples = (old.contracts + new.contracts).flatMap(::samples)
        val lost =
            samples.firstOrNull { sample ->
                val before = old.contract(sample.method, sample.path)
                val after = new.contract(sample.method, sample.path)
                val wasStated = old.contracts.any { it.covers(sample.method, sample.path) }
                !before.idempotent && after.idempotent && (wasStated || sample.method !in safeMethods)
            }
        return lost?.let { "${it.method} ${it.path}" }
    }

    /** Calls at which the answer of a list of contracts can change: the path itself, and one below it. */
    private fun samples(contract: Contract): List<Sample> {
        val methods = if (contract.method == "*") allMethods else setOf(contract.method.uppercase())
        val stem = contract.path.removeSuffix("*")
        val paths = if (contract.path.endsWith("*")) listOf(stem, "$stem~") else listOf(stem)
        return methods.flatMap { method -> paths.map { Sample(method, it) } }
    }

    private fun fleet(
        old: Configuration,
        new: Configuration,
    ): List<Danger> =
        buildList {
            val before = old.services.sumOf { it.capacity }
            val after = new.services.sumOf { it.capacity }
            cut(before.toDouble(), after.toDouble(), CAPACITY_SHARE)?.let {
                add(Danger(FLEET, "capacity of all services together is cut by $it%, from $before to $after"))
            }
            val hosting = { configuration: Configuration ->
                configuration.services.flatMap { it.upstreams }.map { it.place }
            }
            (
                hosting(
                    old,
                ).toSet() - hosting(new).toSet()
            ).forEach { add(Danger(it.value, "the place loses all its hosts")) }
        }

    private fun accounts(
        old: Configuration,
        new: Configuration,
    ): List<Danger> =
        old.callers.mapNotNull { before ->
            val after = new.callers.firstOrNull { it.name == before.name }
            when {
                after == null -> Danger(before.name.value, "the account is removed")
                after.keyHash != before.keyHash -> Danger(before.name.value, "the account's key is replaced")
                else -> null
            }
        }

    /** Parts that go back to what an earlier publish replaced, as from a directory that is out of date. */
    private fun reverts(
        old: Configuration,
        new: Configuration,
    ): List<Danger> {
        val before = old.parts()
        return new.parts().filter { before[it.key] != it.value }.mapNotNull { (label, part) ->
            val digest: Digest = part.digest()
            val mark = old.publishes.lastOrNull { it.replaced[label] == digest }
            mark?.let {
                val reason = "goes back to what ${it.by} replaced in generation ${it.generation}; is it out of date?"
                Danger(label.substringAfter(' '), "$label $reason")
            }
        }
    }

    private const val MILLIS = 1_000
    private const val PERCENT = 100
}
