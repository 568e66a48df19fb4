package sycamore.entry

import org.http4k.core.Request
import sycamore.model.Caller
import sycamore.model.Configuration
import sycamore.model.Digest
import java.util.concurrent.ConcurrentHashMap

/**
 * Finds the account that a request belongs to by its API key.
 *
 * A key is hashed with the salt of each account only when it is first seen. The digests of valid keys are cached for
 * one configuration, so that there are never more of them than accounts; invalid keys take up no memory.
 */
internal class Accounts {
    private class KeyCache(
        val configuration: Configuration,
    ) {
        val byKey = ConcurrentHashMap<Digest, Caller>()
    }

    @Volatile
    private var cache: KeyCache? = null

    /** Returns the account of [request], or null when the request has no valid key. */
    fun find(
        request: Request,
        configuration: Configuration,
    ): Caller? {
        val header = request.header("authorization") ?: return null
        if (!header.startsWith(SCHEME, ignoreCase = true)) return null
        val key = header.drop(SCHEME.length).trim()
        val digest = Digest.sha256(key.encodeToByteArray())
        val byKey = cacheFor(configuration).byKey
        return byKey[digest] ?: search(key, configuration)?.also { byKey[digest] = it }
    }

    private fun search(
        key: String,
        configuration: Configuration,
    ): Caller? = configuration.callers.firstOrNull { it.matchesKey(key) }

    private fun cacheFor(configuration: Configuration): KeyCache {
        val current = cache
        if (current != null && current.configuration === configuration) return current
        return KeyCache(configuration).also { cache = it }
    }

    private companion object {
        const val SCHEME = "Bearer "
    }
}
