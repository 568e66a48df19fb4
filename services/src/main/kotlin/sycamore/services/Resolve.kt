package sycamore.services

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whose write made a value. */
enum class Authorship {
    /** The write in question, or a later one that names it as an ancestor. */
    OURS,

    /** Another write, and the one in question was never there before it. */
    FOREIGN,

    /** Another write; the one in question may have been there before it. */
    UNCERTAIN,
}

/** Tells by the writer's unique id within a value who wrote it. */
typealias FindAuthor = (value: ByteArray) -> Authorship

/** Repeats [read] with pauses until it is answered, for at most [within]. */
suspend fun <T> retryRead(
    within: Duration,
    backoff: Backoff = Backoff(),
    read: suspend () -> Read<T>,
): Read<T> {
    var last: Read<T> = Read.Unreachable("no attempt was made")
    withTimeoutOrNull(within) {
        while (true) {
            last = read()
            if (last is Read.Found) return@withTimeoutOrNull
            delay(backoff.next())
        }
    }
    return last
}

/**
 * Writes [value], and finds out what became of it where the answer is lost.
 *
 * The value has to carry an id that no other write carries, which [author] looks for. After a lost answer the key is
 * read back: if it is still at [expected], the same write is sent again, under the same version, so that at most one of
 * the copies takes effect. [Write.NotKnown] is the answer only when [within] has passed, or when another write may
 * have covered this one.
 */
suspend fun KeyValue.resolve(
    key: String,
    value: ByteArray,
    expected: Revision,
    author: FindAuthor,
    lease: Duration? = null,
    within: Duration = RESOLVE_WITHIN,
    backoff: Backoff = Backoff(),
): Write {
    var last = put(key, value, expected, lease)
    if (last !is Write.NotKnown) return last
    withTimeoutOrNull(within) {
        while (last is Write.NotKnown) {
            delay(backoff.next())
            last = readBack(key, value, expected, author, lease) ?: last
            if (last is Write.NotKnown && (last as Write.NotKnown).reason == COVERED) break
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
): Write? {
    val read = get(key)
    if (read !is Read.Found) return null
    val current = read.value
    if ((current?.version ?: Revision.ABSENT) != expected) return judge(current, author)
    return when (val again = put(key, value, expected, lease)) {
        is Write.Conflict -> judge(again.current, author)
        is Write.NotSent -> null
        else -> again
    }
}

private fun judge(
    current: Item?,
    author: FindAuthor,
): Write =
    when (current?.value?.let(author)) {
        Authorship.OURS -> Write.Taken(current.version)
        Authorship.FOREIGN -> Write.Conflict(current)
        Authorship.UNCERTAIN, null -> Write.NotKnown(COVERED)
    }

private const val COVERED = "another write may have covered this one"
private val RESOLVE_WITHIN = 30.seconds
