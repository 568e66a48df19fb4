package sycamore.daemon.audit

import kotlinx.serialization.Serializable
import sycamore.model.Generation
import kotlin.time.Instant

/** One value that changed; null where it was or is absent. */
@Serializable
data class AuditChange(
    val path: String,
    val old: String?,
    val new: String?,
) {
    override fun toString(): String =
        when {
            old == null -> "+ $path = $new"
            new == null -> "- $path = $old"
            else -> "~ $path: $old -> $new"
        }
}

/** What a record of the audit trail is about. */
@Serializable
enum class AuditAction {
    /** An operator is about to publish; the configuration itself tells whether it was accepted. */
    PUBLISH,

    /** A publish was accepted. */
    ACCEPTED,

    /** The programs of a lost home went to another host. */
    TAKEOVER,

    /** A host left. */
    DRAIN,

    /** Engine memory was evicted by force. */
    EVICTION,

    /** An order was given to an upstream. */
    ORDER,

    /** A daemon started. */
    START,

    /** A daemon stopped. */
    STOP,
}

/**
 * One record of the audit trail.
 *
 * @property id unique; two records with one id are the same.
 * @property by the operator, or the host that acted by itself.
 * @property subject what was acted on.
 */
@Serializable
data class AuditRecord(
    val id: String,
    val at: Instant,
    val by: String,
    val action: AuditAction,
    val subject: String,
    val generation: Generation,
    val changes: List<AuditChange> = emptyList(),
)
