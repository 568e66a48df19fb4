package sycamore.decisions.accounts

/**
 * Limit of an account.
 *
 * @property rate requests per second; above 0.
 * @property burst number of requests that may be sent at once after a pause.
 */
data class Quota(
    val rate: Double,
    val burst: Double,
)
