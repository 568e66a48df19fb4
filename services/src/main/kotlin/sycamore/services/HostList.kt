package sycamore.services

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.runInterruptible
import kotlinx.serialization.Serializable
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Status
import sycamore.model.Address
import sycamore.model.HostName
import sycamore.model.PlaceName

/** A host as the platform lists it. The list lags behind. */
@Serializable
data class ListedHost(
    val name: HostName,
    val place: PlaceName,
    val address: Address,
    val leaving: Boolean = false,
)

/** Reads the platform's list of hosts; null when it cannot be read now. */
typealias ReadHostList = suspend () -> List<ListedHost>?

/** The platform's list of hosts over HTTP, as a JSON array at [PATH]. */
object HttpHostList {
    /** Path of the list. */
    const val PATH = "/v1/hosts"

    /** A reader of the list that is served at [address]. */
    fun at(
        address: Address,
        http: HttpHandler,
        blocking: CoroutineDispatcher,
    ): ReadHostList =
        {
            try {
                val response = runInterruptible(blocking) { http(Request(Method.GET, "http://$address$PATH")) }
                if (response.status == Status.OK) decode(response.bodyString()) else null
            } catch (e: CancellationException) {
                throw e
            } catch (_: Exception) {
                null
            }
        }

    private fun decode(text: String): List<ListedHost> = bodies.decodeFromString(text)
}
