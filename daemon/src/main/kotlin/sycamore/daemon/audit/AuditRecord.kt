package sycamore.daemon.audit

import kotlinx.serialization.Serializable
import sycamore.model.Generation
import kotlin.time.Instant

/** A changed value. [old] or [new] is null if the value was or is now absent. */
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

/** The kind of action that a record of the audit trail describes. */
@Serializable
enum class AuditAction {
    /** An operator is about to publish a configuration. The stored configuration shows whether it was accepted. */
    PUBLISH,

    /** A published configuration was accepted. */
    ACCEPTED,

    /** The programs of a lost home were taken over by another host. */
    TAKEOVER,

    /** A host was drained. */
    DRAIN,

    /** Engine memory was forcibly evicted. */
    EVICTION,

    /** An order was sent to an upstream. */
    ORDER,

    /** A daemon started. */
    START,

    /** A daemon stopped. */
    STOP,
}

/**
 * A record of the audit trail.
 *
 * @property id the unique id; records with the same id are duplicates.
 * @property at the time of the action.
 * @property by the operator who acted, or the host if it acted on its own.
 * @property subject the object of the action.
 * @property generation the generation of the configuration that the action was based on.
 * @property changes the changed values.
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
