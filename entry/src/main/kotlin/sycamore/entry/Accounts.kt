package sycamore.entry

import org.http4k.core.Request
import sycamore.model.Caller
import sycamore.model.Configuration
import sycamore.model.Digest
import java.util.concurrent.ConcurrentHashMap

/**
 * Tells which account a request belongs to, by its API key.
 *
 * A key is hashed with the salt of each account only when it is first seen. The digests of keys that were right are kept
 * for one configuration, so there are never more of them than accounts, and wrong keys take no room.
 */
internal class Accounts {
    private class Known(
        val configuration: Configuration,
    ) {
        val byKey = ConcurrentHashMap<Digest, Caller>()
    }

    @Volatile
    private var known: Known? = null

    /** The account of [request], or null when it carries no valid key. */
    fun of(
        request: Request,
        configuration: Configuration,
    ): Caller? {
        val header = request.header("authorization") ?: return null
        if (!header.startsWith(SCHEME, ignoreCase = true)) return null
        val key = header.drop(SCHEME.length).trim()
        val digest = Digest.sha256(key.encodeToByteArray())
        val byKey = knownOf(configuration).byKey
        return byKey[digest] ?: search(key, configuration)?.also { byKey[digest] = it }
    }

    private fun search(
        key: String,
        configuration: Configuration,
    ): Caller? = configuration.callers.firstOrNull { it.matchesKey(key) }

    private fun knownOf(configuration: Configuration): Known {
        val current = known
        if (current != null && current.configuration === configuration) return current
        return Known(configuration).also { known = it }
    }

    private companion object {
        const val SCHEME = "Bearer "
    }
}
