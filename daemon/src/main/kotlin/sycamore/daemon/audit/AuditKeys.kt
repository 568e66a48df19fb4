package sycamore.daemon.audit

import sycamore.services.Item
import sycamore.services.wireJson
import kotlin.time.Duration.Companion.hours
import kotlin.time.Instant

/** Keys and values of audit records in the key-value service. Keys sort by hour (UTC), then time, then id. */
internal object AuditKeys {
    /** Prefix of the keys of all records. */
    const val PREFIX = "audit/"

    private const val MILLIS_DIGITS = 13
    private const val HOUR_CHARACTERS = 13

    /** Returns the key of [record]. */
    fun keyOf(record: AuditRecord): String {
        val millis =
            record.at
                .toEpochMilliseconds()
                .toString()
                .padStart(MILLIS_DIGITS, '0')
        return "${hourPrefix(record.at)}$millis-${record.id}"
    }

    /** Returns the prefix of the keys of all records within the hour of [at]. */
    fun hourPrefix(at: Instant): String = "$PREFIX${at.toString().take(HOUR_CHARACTERS)}/"

    /** Returns the start of each hour from that of [from] to that of [to], both inclusive. */
    fun hours(
        from: Instant,
        to: Instant,
    ): Sequence<Instant> = generateSequence(startOfHour(from)) { it + 1.hours }.takeWhile { it <= to }

    /** Returns the start of the hour of [at]. */
    fun startOfHour(at: Instant): Instant {
        val seconds = at.epochSeconds
        return Instant.fromEpochSeconds(seconds - seconds.mod(1.hours.inWholeSeconds))
    }

    /** Encodes [record] as the value of its key. */
    fun encode(record: AuditRecord): ByteArray = wireJson.encodeToString(record).encodeToByteArray()

    /** Decodes the record in [item]; null if the item was deleted or holds anything else. */
    fun decode(item: Item): AuditRecord? =
        try {
            item.value?.let { wireJson.decodeFromString<AuditRecord>(it.decodeToString()) }
        } catch (_: IllegalArgumentException) {
            null
        }
}
