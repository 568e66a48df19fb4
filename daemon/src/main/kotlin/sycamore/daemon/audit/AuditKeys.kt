package sycamore.daemon.audit

import sycamore.services.Item
import sycamore.services.wireJson
import kotlin.time.Duration.Companion.hours
import kotlin.time.Instant

/** Where the records of the audit trail stand in the key-value service: by hour (UTC), then time, then id. */
internal object AuditKeys {
    /** Begins the keys of all records. */
    const val PREFIX = "audit/"

    private const val MILLIS_DIGITS = 13
    private const val HOUR_CHARACTERS = 13

    /** The key of [record]. */
    fun of(record: AuditRecord): String {
        val millis =
            record.at
                .toEpochMilliseconds()
                .toString()
                .padStart(MILLIS_DIGITS, '0')
        return "${hour(record.at)}$millis-${record.id}"
    }

    /** What begins the keys of the records of the hour of [at]. */
    fun hour(at: Instant): String = "$PREFIX${at.toString().take(HOUR_CHARACTERS)}/"

    /** The beginning of each hour from that of [from] to that of [to], both included. */
    fun hours(
        from: Instant,
        to: Instant,
    ): Sequence<Instant> = generateSequence(startOfHour(from)) { it + 1.hours }.takeWhile { it <= to }

    /** The beginning of the hour of [at]. */
    fun startOfHour(at: Instant): Instant {
        val seconds = at.epochSeconds
        return Instant.fromEpochSeconds(seconds - seconds.mod(1.hours.inWholeSeconds))
    }

    /** [record] as the value of its key. */
    fun encode(record: AuditRecord): ByteArray = wireJson.encodeToString(record).encodeToByteArray()

    /** The record in [item], or null when it was deleted or holds anything else. */
    fun decode(item: Item): AuditRecord? =
        try {
            item.value?.let { wireJson.decodeFromString<AuditRecord>(it.decodeToString()) }
        } catch (_: IllegalArgumentException) {
            null
        }
}
