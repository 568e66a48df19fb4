package sycamore.services

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Which write a stored value comes from. */
enum class Authorship {
    /** The value comes from the write in question, or from a later write that names it as an ancestor. */
    OURS,

    /** The value comes from another write, and the write in question did not take effect before it. */
    FOREIGN,

    /** The value comes from another write, and the write in question may have taken effect before it. */
    UNCERTAIN,
}

/** Determines from the unique id of the writer in a value which write it comes from. */
typealias FindAuthor = (value: ByteArray) -> Authorship

/** Repeats [read] with [backoff] until it is answered, for at most [within]. */
suspend fun <T> retryRead(
    within: Duration,
    backoff: Backoff = Backoff(),
    read: suspend () -> ReadResult<T>,
): ReadResult<T> {
    var last: ReadResult<T> = ReadResult.Unreachable("no attempt was made")
    withTimeoutOrNull(within) {
        while (true) {
            last = read()
            if (last is ReadResult.Found) return@withTimeoutOrNull
            delay(backoff.next())
        }
    }
    return last
}

/**
 * Writes [value] to [key], and finds out whether the write took effect when its answer is lost.
 *
 * The value has to contain an id that is unique to this write, which [author] looks for. After a lost answer the key is
 * read back: if it is still at [expected], the same write is sent again with the same expected version, so that at most
 * one of the copies takes effect. The result is [WriteResult.OutcomeUnknown] only when [within] has passed, or when
 * another write may have overwritten this one.
 */
suspend fun KeyValue.putAndConfirm(
    key: String,
    value: ByteArray,
    expected: Revision,
    author: FindAuthor,
    lease: Duration? = null,
    within: Duration = CONFIRM_TIMEOUT,
    backoff: Backoff = Backoff(),
): WriteResult {
    var last = put(key, value, expected, lease)
    if (last !is WriteResult.OutcomeUnknown) return last
    withTimeoutOrNull(within) {
        while (last is WriteResult.OutcomeUnknown) {
            delay(backoff.next())
            last = readBack(key, value, expected, author, lease) ?: last
            if (last is WriteResult.OutcomeUnknown && (last as WriteResult.OutcomeUnknown).reason == OVERWRITTEN) break
        }
    }
    return last
}

private suspend fun KeyValue.readBack(
    key: String,
    value: ByteArray,
    expected: Revision,
    author: FindAuthor,
    lease: Duration?,
): WriteResult? {
    val read = get(key)
    if (read !is ReadResult.Found) return null
    val current = read.value
    if ((current?.version ?: Revision.ABSENT) != expected) return resultOf(current, author)
    return when (val again = put(key, value, expected, lease)) {
        is WriteResult.Conflict -> resultOf(again.current, author)
        is WriteResult.NotSent -> null
        else -> again
    }
}

private fun resultOf(
    current: Item?,
    author: FindAuthor,
): WriteResult =
    when (current?.value?.let(author)) {
        Authorship.OURS -> WriteResult.Applied(current.version)
        Authorship.FOREIGN -> WriteResult.Conflict(current)
        Authorship.UNCERTAIN, null -> WriteResult.OutcomeUnknown(OVERWRITTEN)
    }

private const val OVERWRITTEN = "another write may have overwritten this one"
private val CONFIRM_TIMEOUT = 30.seconds
