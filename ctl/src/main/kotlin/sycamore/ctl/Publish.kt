package sycamore.ctl

import sycamore.daemon.ConfigurationCodec
import sycamore.daemon.InForce
import sycamore.daemon.audit.AuditChange
import sycamore.model.Configuration
import sycamore.model.ConfigurationCheck
import sycamore.model.Finding
import sycamore.model.Generation
import sycamore.model.PublishMark
import sycamore.services.Authorship
import sycamore.services.FindAuthor
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import sycamore.services.putAndConfirm
import sycamore.services.retryRead
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A request of an operator to put configuration files in force.
 *
 * @property files the configuration that the files describe, without a generation.
 * @property publishId the id of this publish, unique among all.
 * @property by the name of the operator.
 * @property confirmed the names, as [DangerousChange.name], whose dangerous changes are intended.
 * @property isDryRun whether the changes are only determined and not written.
 */
internal data class PublishRequest(
    val files: Configuration,
    val publishId: String,
    val by: String,
    val confirmed: Set<String> = emptySet(),
    val isDryRun: Boolean = false,
)

/** The result of a publish. */
internal sealed interface PublishResult {
    /** The publish is accepted as [generation]. */
    data class Accepted(
        val generation: Generation,
        val changes: List<AuditChange>,
    ) : PublishResult

    /** The files are equal to [generation], which is already published. */
    data class Unchanged(
        val generation: Generation,
    ) : PublishResult

    /** The result of a dry run: the changes of a publish, and the [dangers] that are still to be confirmed. */
    data class Preview(
        val changes: List<AuditChange>,
        val dangers: List<DangerousChange>,
    ) : PublishResult

    /** The publish is refused until the [dangers] are confirmed by name. */
    data class Unconfirmed(
        val changes: List<AuditChange>,
        val dangers: List<DangerousChange>,
    ) : PublishResult

    /** Another publish changed the parts with [labels] meanwhile, in a different way. */
    data class Conflicting(
        val labels: List<String>,
        val by: String,
        val generation: Generation,
    ) : PublishResult

    /** Merged with another publish that came first, the files are invalid. */
    data class Invalid(
        val findings: List<Finding>,
    ) : PublishResult

    /** The publish failed and had no effect. */
    data class Failed(
        val reason: String,
    ) : PublishResult

    /** The publish may have taken effect. */
    data class OutcomeUnknown(
        val reason: String,
    ) : PublishResult
}

/** Publishes the files of a directory as the next generation of the configuration. */
internal class Publish(
    private val keys: KeyValue,
    private val clock: Clock = Clock.System,
    private val timeout: Duration = 30.seconds,
) {
    private class PublishedState(
        val configuration: Configuration?,
        val version: Revision,
    ) {
        val parts = configuration?.parts().orEmpty()
        val generation = configuration?.generation ?: Generation.NONE
    }

    /** Publishes [request]. [announce] records the changes first; when it returns false, nothing is written. */
    suspend fun run(
        request: PublishRequest,
        announce: suspend (Generation, List<AuditChange>) -> Boolean = { _, _ -> true },
    ): PublishResult {
        val base = current() ?: return PublishResult.Failed(UNREACHABLE)
        var onto = base
        repeat(MAX_ATTEMPTS) {
            val next =
                when (val merged = merge(base.parts, request.files.parts(), onto.parts)) {
                    is Merge.Clash -> return clash(merged, onto)
                    is Merge.Clean -> next(request, onto, merged.parts)
                }
            rejection(request, onto, next)?.let { return it }
            val changes = Difference.between(onto.configuration, next)
            if (!announce(next.generation, changes)) return PublishResult.Failed("the audit trail cannot be written")
            when (val write = write(next, onto)) {
                is WriteResult.Applied -> return PublishResult.Accepted(next.generation, changes)
                is WriteResult.NotSent -> return PublishResult.Failed(write.reason)
                is WriteResult.OutcomeUnknown -> return PublishResult.OutcomeUnknown(write.reason)
                is WriteResult.Conflict -> onto = current() ?: return PublishResult.Failed(UNREACHABLE)
            }
        }
        return PublishResult.Failed("other publishes came first $MAX_ATTEMPTS times")
    }

    private suspend fun current(): PublishedState? {
        val read = retryRead(timeout) { keys.get(InForce.KEY) }
        val item: Item? = (read as? ReadResult.Found ?: return null).value
        return PublishedState(item?.value?.let(ConfigurationCodec::decode), item?.version ?: Revision.ABSENT)
    }

    private fun next(
        request: PublishRequest,
        onto: PublishedState,
        parts: Collection<Part>,
    ): Configuration {
        val next = request.files.with(parts)
        val after = next.parts()
        val changed = (onto.parts.keys + after.keys).filter { onto.parts[it] != after[it] }
        val replaced = changed.associateWith { onto.parts[it]?.digest() }
        val generation = onto.generation.next()
        val mark = PublishMark(generation, request.publishId, request.by, clock.now(), replaced)
        val publishes = (onto.configuration?.publishes.orEmpty() + mark).takeLast(MAX_PUBLISH_MARKS)
        return next.copy(generation = generation, publishId = request.publishId, publishes = publishes)
    }

    /** Returns the result if [next] must not be written, or null. */
    private fun rejection(
        request: PublishRequest,
        onto: PublishedState,
        next: Configuration,
    ): PublishResult? {
        if (next.parts() == onto.parts) return PublishResult.Unchanged(onto.generation)
        val findings = ConfigurationCheck.check(next)
        if (findings.isNotEmpty()) return PublishResult.Invalid(findings)
        val size = ConfigurationCodec.encode(next).size
        if (size > KeyValue.MAX_VALUE_BYTES) return PublishResult.Failed("the configuration has $size bytes, too many")
        val dangers = onto.configuration?.let { DangerousChanges.between(it, next) }.orEmpty()
        val unconfirmed = dangers.filterNot { it.name in request.confirmed }
        val changes = Difference.between(onto.configuration, next)
        if (request.isDryRun) return PublishResult.Preview(changes, unconfirmed)
        return if (unconfirmed.isEmpty()) null else PublishResult.Unconfirmed(changes, unconfirmed)
    }

    private fun clash(
        clash: Merge.Clash,
        onto: PublishedState,
    ): PublishResult {
        val mark = onto.configuration?.publishes?.lastOrNull { mark -> clash.labels.any(mark.replaced::containsKey) }
        return PublishResult.Conflicting(
            clash.labels,
            mark?.by ?: "another operator",
            mark?.generation ?: onto.generation,
        )
    }

    private suspend fun write(
        next: Configuration,
        onto: PublishedState,
    ): WriteResult {
        val bytes = ConfigurationCodec.encode(next)
        return keys.putAndConfirm(InForce.KEY, bytes, onto.version, author(next), within = timeout)
    }

    private fun author(next: Configuration): FindAuthor =
        { bytes ->
            val stored = ConfigurationCodec.decode(bytes)
            val oldest = stored.publishes.firstOrNull()?.generation
            when {
                stored.publishes.any { it.publishId == next.publishId } -> Authorship.OURS
                oldest != null && oldest <= next.generation -> Authorship.FOREIGN
                else -> Authorship.UNCERTAIN
            }
        }

    private companion object {
        const val MAX_ATTEMPTS = 8
        const val MAX_PUBLISH_MARKS = 64
        const val UNREACHABLE = "the key-value service does not answer"
    }
}
