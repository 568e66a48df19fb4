package sycamore.gateway

import sycamore.platform.CallHeaders
import sycamore.platform.CallerKey
import sycamore.platform.Header
import sycamore.platform.PlatformBounds
import sycamore.routing.AccountDirectory
import sycamore.routing.ClientAccount
import sycamore.routing.Route
import kotlin.time.Duration

/** Whether a request may be served, and for which account. */
internal sealed interface Authentication {
    /** The request is served for [account]; null if it has none. */
    data class Accepted(
        val account: ClientAccount?,
    ) : Authentication

    /** The request has no valid key, because of [fault]. */
    data class Refused(
        val fault: KeyFault,
    ) : Authentication

    /** The configuration was not confirmed lately, so that the key may have been taken away or added since. */
    data object Unconfirmed : Authentication
}

/** Why the key of a request is not valid. */
internal enum class KeyFault(
    val detail: String,
) {
    MISSING("expected a key, found none"),
    SEVERAL("expected one key, found several"),
    UNKNOWN("no account has this key"),
}

/**
 * Finds the account of each request by its key.
 *
 * @param bounds returns the time bounds in force.
 * @param configurationAge returns the time since the configuration was last confirmed; null if it never was.
 */
internal class Authenticator(
    private val bounds: () -> PlatformBounds,
    private val configurationAge: () -> Duration?,
) {
    /** Authenticates a request with [headers] on [route], when [accounts] are in force. */
    fun authenticate(
        headers: List<Header>,
        route: Route,
        accounts: AccountDirectory,
    ): Authentication {
        if (!accounts.isInUse) return Authentication.Accepted(null)
        val key = CallHeaders.readKey(headers)
        val account = (key as? CallerKey.One)?.let { accounts.find(it.digest) }
        return when {
            route.allowsAnonymous -> Authentication.Accepted(account)
            key is CallerKey.None -> Authentication.Refused(KeyFault.MISSING)
            key is CallerKey.Several -> Authentication.Refused(KeyFault.SEVERAL)
            isUnconfirmed -> Authentication.Unconfirmed
            account == null -> Authentication.Refused(KeyFault.UNKNOWN)
            else -> Authentication.Accepted(account)
        }
    }

    private val isUnconfirmed: Boolean
        get() = bounds().let { it.strictRevocation && (configurationAge() ?: Duration.INFINITE) > it.revocationTime }
}
