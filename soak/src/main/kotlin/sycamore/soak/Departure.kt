package sycamore.soak

import kotlin.time.Duration

/** What the store says of an upstream. */
internal enum class Registration { READY, DRAINING, NONE }

/**
 * How an upstream leaves, from its first answer that announces it.
 *
 * @property registration what the store says of it meanwhile.
 * @property extra the time that it serves after the drain time.
 * @property absence the time until it is replaced.
 * @property isMoving whether the one that replaces it has another address.
 * @property isAnnounced whether its answers say that it leaves.
 * @property hasSameId whether the one that replaces it has the same id.
 */
internal data class Departure(
    val registration: Registration,
    val extra: Duration,
    val absence: Duration,
    val isMoving: Boolean,
    val hasSameId: Boolean,
    val isAnnounced: Boolean,
)
