package sycamore.routing

import sycamore.model.CallerName

/**
 * Limit of an account on its requests through all gateways together, as a token bucket.
 *
 * @property requestsPerSecond rate at which the account may send requests; above 0.
 * @property burst number of requests that the account may send at once after a pause; at least 0.
 */
data class AccountLimit(
    val requestsPerSecond: Double,
    val burst: Double,
)

/**
 * An account on whose behalf clients send requests.
 *
 * @property priority priority of the account's calls, which replaces that of their routes; null if the routes' priorities apply.
 * @property limit limit on the account's requests; null if there is none.
 */
data class ClientAccount(
    val name: CallerName,
    val priority: Int? = null,
    val limit: AccountLimit? = null,
)
