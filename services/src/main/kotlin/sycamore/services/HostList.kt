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

/** A host in the platform's list of hosts. The list is updated with a delay. */
@Serializable
data class ListedHost(
    val name: HostName,
    val place: PlaceName,
    val address: Address,
    val leaving: Boolean = false,
)

/** Reads the platform's list of hosts; returns null when it cannot be read now. */
typealias ReadHostList = suspend () -> List<ListedHost>?

/** Reads the platform's list of hosts over HTTP. It is a JSON array at [PATH]. */
object HttpHostList {
    /** The path of the list. */
    const val PATH = "/v1/hosts"

    /** Returns a reader of the list that is served at [address]. */
    fun reader(
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

    private fun decode(text: String): List<ListedHost> = wireJson.decodeFromString(text)
}
