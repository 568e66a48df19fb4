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
 * What an operator asks for.
 *
 * @property publishId unique to this publish.
 * @property confirmed names of services, callers and places whose dangerous changes are meant.
 */
internal data class PublishRequest(
    val files: Configuration,
    val publishId: String,
    val by: String,
    val confirmed: Set<String> = emptySet(),
    val isDryRun: Boolean = false,
)

/** What became of a publish. */
internal sealed interface Published {
    /** It is accepted as [generation]. */
    data class Accepted(
        val generation: Generation,
        val changes: List<AuditChange>,
    ) : Published

    /** Nothing differs from [generation]. */
    data class Unchanged(
        val generation: Generation,
    ) : Published

    /** What a publish would change now, and the [dangers] that would have to be confirmed. */
    data class Preview(
        val changes: List<AuditChange>,
        val dangers: List<Danger>,
    ) : Published

    /** Refused until the [dangers] are confirmed by name. */
    data class Unconfirmed(
        val changes: List<AuditChange>,
        val dangers: List<Danger>,
    ) : Published

    /** Another publish changed the same parts meanwhile. */
    data class Conflicting(
        val labels: List<String>,
        val by: String,
        val generation: Generation,
    ) : Published

    /** Together with another publish that came first, the files are wrong. */
    data class Wrong(
        val findings: List<Finding>,
    ) : Published

    /** It had no effect. */
    data class NotAccepted(
        val reason: String,
    ) : Published

    /** It may have taken effect. */
    data class NotKnown(
        val reason: String,
    ) : Published
}

/** Puts the files of a directory in force as the next generation. */
internal class Publish(
    private val keys: KeyValue,
    private val clock: Clock = Clock.System,
    private val within: Duration = 30.seconds,
) {
    private class Current(
        val configuration: Configuration?,
        val version: Revision,
    ) {
        val parts = configuration?.parts().orEmpty()
        val generation = configuration?.generation ?: Generation.NONE
    }

    /** Publishes [request]; [announce] is told of the changes before they are written. */
    suspend fun run(
        request: PublishRequest,
        announce: suspend (Generation, List<AuditChange>) -> Boolean = { _, _ -> true },
    ): Published {
        val base = current() ?: return Published.NotAccepted(UNREACHABLE)
        var onto = base
        repeat(ATTEMPTS) {
            val next =
                when (val merged = merge(base.parts, request.files.parts(), onto.parts)) {
                    is Merge.Clash -> return clash(merged, onto)
                    is Merge.Clean -> next(request, onto, merged.parts)
                }
            objection(request, onto, next)?.let { return it }
            val changes = Difference.between(onto.configuration, next)
            if (!announce(next.generation, changes)) return Published.NotAccepted("the audit trail cannot be written")
            when (val write = write(next, onto)) {
                is WriteResult.Applied -> return Published.Accepted(next.generation, changes)
                is WriteResult.NotSent -> return Published.NotAccepted(write.reason)
                is WriteResult.OutcomeUnknown -> return Published.NotKnown(write.reason)
                is WriteResult.Conflict -> onto = current() ?: return Published.NotAccepted(UNREACHABLE)
            }
        }
        return Published.NotAccepted("other publishes came first $ATTEMPTS times")
    }

    private suspend fun current(): Current? {
        val read = retryRead(within) { keys.get(InForce.KEY) }
        val item: Item? = (read as? ReadResult.Found ?: return null).value
        return Current(item?.value?.let(ConfigurationCodec::decode), item?.version ?: Revision.ABSENT)
    }

    private fun next(
        request: PublishRequest,
        onto: Current,
        parts: Collection<Part>,
    ): Configuration {
        val next = request.files.with(parts)
        val after = next.parts()
        val changed = (onto.parts.keys + after.keys).filter { onto.parts[it] != after[it] }
        val replaced = changed.associateWith { onto.parts[it]?.digest() }
        val generation = onto.generation.next()
        val mark = PublishMark(generation, request.publishId, request.by, clock.now(), replaced)
        val publishes = (onto.configuration?.publishes.orEmpty() + mark).takeLast(MARKS)
        return next.copy(generation = generation, publishId = request.publishId, publishes = publishes)
    }

    /** Why [next] is not written, or null. */
    private fun objection(
        request: PublishRequest,
        onto: Current,
        next: Configuration,
    ): Published? {
        if (next.parts() == onto.parts) return Published.Unchanged(onto.generation)
        val findings = ConfigurationCheck.check(next)
        if (findings.isNotEmpty()) return Published.Wrong(findings)
        val size = ConfigurationCodec.encode(next).size
        if (size > KeyValue.MAX_VALUE_BYTES) return Published.NotAccepted("the configuration has $size bytes, too many")
        val dangers = onto.configuration?.let { Dangers.between(it, next) }.orEmpty()
        val open = dangers.filterNot { it.name in request.confirmed }
        val changes = Difference.between(onto.configuration, next)
        if (request.isDryRun) return Published.Preview(changes, open)
        return if (open.isEmpty()) null else Published.Unconfirmed(changes, open)
    }

    private fun clash(
        clash: Merge.Clash,
        onto: Current,
    ): Published {
        val mark = onto.configuration?.publishes?.lastOrNull { mark -> clash.labels.any(mark.replaced::containsKey) }
        return Published.Conflicting(clash.labels, mark?.by ?: "another operator", mark?.generation ?: onto.generation)
    }

    private suspend fun write(
        next: Configuration,
        onto: Current,
    ): WriteResult {
        val bytes = ConfigurationCodec.encode(next)
        return keys.putAndConfirm(InForce.KEY, bytes, onto.version, author(next), within = within)
    }

    private fun author(next: Configuration): FindAuthor =
        { bytes ->
            val there = ConfigurationCodec.decode(bytes)
            val oldest = there.publishes.firstOrNull()?.generation
            when {
                there.publishes.any { it.publishId == next.publishId } -> Authorship.OURS
                oldest != null && oldest <= next.generation -> Authorship.FOREIGN
                else -> Authorship.UNCERTAIN
            }
        }

    private companion object {
        const val ATTEMPTS = 8
        const val MARKS = 64
        const val UNREACHABLE = "the key-value service does not answer"
    }
}
