package sycamore.soak

import sycamore.routing.AccountLimit
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * The client accounts of a run and their keys. Safe for use by several threads, of which one changes keys.
 *
 * @param limit the limit of each account but the last; null if no account has one.
 */
internal class AccountKeys(
    count: Int,
    limit: AccountLimit?,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val accounts = List(count) { "account$it" }
    private val keys =
        CopyOnWriteArrayList(accounts.flatMap { account -> List(KEYS) { AccountKey(account, "secret-$account-$it") } })

    val limits: Map<String, AccountLimit> =
        if (limit == null) emptyMap() else accounts.dropLast(1).associateWith { limit }

    /** The last complete turn of each account. */
    val lastTurns = ConcurrentHashMap<String, CompleteTurn>()

    /** The keys of all versions. */
    val values: List<String> get() = keys.map { it.value }

    fun accountOf(caller: Int): String = accounts[caller % accounts.size]

    /** A key for a request of [account]: mostly a held one, at times one that may have been taken away or never existed. */
    fun choose(
        account: String,
        random: Random,
    ): AccountKey =
        when (random.nextInt(CHOICES)) {
            0 -> AccountKey(account, "unknown-${random.nextInt()}")
            1, 2 -> keys.filter { it.account == account }.random(random)
            else -> held(account).random(random)
        }

    /** Writes a version by [write] with the keys of each account, changed as [random] determines; null changes none. */
    suspend fun replace(
        random: Random?,
        write: suspend (Map<String, List<String>>) -> Unit,
    ) {
        val before = keys.filter { it.isHeld }
        val after = if (random == null) before.ifEmpty { keys.toList() } else accounts.flatMap { next(it, random) }
        val added = after - before.toSet()
        val dropped = before - after.toSet()
        keys.addAllAbsent(added)
        added.forEach { it.change(isHeld = true, since = null) }
        dropped.forEach { it.change(isHeld = false, since = null) }
        write(after.groupBy({ it.account }, { it.value }))
        val now = time.markNow()
        added.forEach { it.change(isHeld = true, now) }
        dropped.forEach { it.change(isHeld = false, now) }
    }

    /** The keys of [account] in the next version. One is always held in two versions that follow each other. */
    private fun next(
        account: String,
        random: Random,
    ): List<AccountKey> {
        val held = held(account)
        return when {
            random.nextBoolean() -> held
            held.size == KEYS -> held - held.random(random)
            random.nextBoolean() -> held + AccountKey(account, "secret-$account-${keys.size}")
            else -> held + keys.filter { it.account == account && !it.isHeld }.random(random)
        }
    }

    private fun held(account: String) = keys.filter { it.account == account && it.isHeld }

    private companion object {
        /** The most keys that an account holds. */
        const val KEYS = 2
        const val CHOICES = 20
    }
}
