package sycamore.daemon

import kotlinx.coroutines.delay
import sycamore.model.Address
import sycamore.model.HostName
import sycamore.platform.ListedHost
import sycamore.platform.ReadHostList
import kotlin.time.Duration.Companion.seconds

/** The hosts that this daemon knows of. */
class Members {
    @Volatile
    private var hosts: Map<HostName, ListedHost> = emptyMap()

    /** All known hosts. */
    val all: Collection<ListedHost> get() = hosts.values

    /** Where the daemon on [host] accepts links, or null when the host is not known. */
    fun addressOf(host: HostName): Address? = hosts[host]?.address

    /** Takes over [listed]. */
    fun update(listed: List<ListedHost>) {
        hosts = listed.associateBy { it.name }
    }

    /** Follows the platform's list until cancelled. */
    suspend fun follow(read: ReadHostList) {
        while (true) {
            read()?.let(::update)
            delay(PERIOD)
        }
    }

    private companion object {
        val PERIOD = 1.seconds
    }
}
