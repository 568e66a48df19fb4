package sycamore.entry

import org.http4k.core.Request
import sycamore.model.Caller
import sycamore.model.Configuration

/** Tells which account a request belongs to, by its API key. */
internal object Accounts {
    private const val BEARER = "Bearer "

    /** The account of [request], or null when it carries no valid key. */
    fun of(
        request: Request,
        configuration: Configuration,
    ): Caller? {
        val header = request.header("authorization") ?: return null
        if (!header.startsWith(BEARER)) return null
        val key = header.removePrefix(BEARER)
        return configuration.callers.firstOrNull { it.owns(key) }
    }
}
