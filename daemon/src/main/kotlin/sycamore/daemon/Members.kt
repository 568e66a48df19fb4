package sycamore.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import sycamore.links.PlaceSummary
import sycamore.links.ReportedState
import sycamore.links.Role
import sycamore.model.Address
import sycamore.model.HostName
import sycamore.model.PlaceName
import sycamore.services.ListedHost
import sycamore.services.ReadHostList
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * The daemons that this one knows of: the platform's list, and what daemons say of themselves, which goes before it.
 *
 * A host that says that it leaves is leaving until a later incarnation of it appears, whatever the list says.
 */
class Members {
    @Volatile
    private var listed: Map<HostName, ListedHost> = emptyMap()

    @Volatile
    private var merged: Map<HostName, ListedHost> = emptyMap()

    private val sightings = ConcurrentHashMap<HostName, ReportedState>()
    private val summaries = ConcurrentHashMap<PlaceName, PlaceSummary>()

    /** All known hosts, leaving ones too. */
    val all: Collection<ListedHost> get() = merged.values

    /** The last word of each daemon, entries too. */
    val sighted: Collection<ReportedState> get() = sightings.values

    /** The last summary of each place. */
    val places: Collection<PlaceSummary> get() = summaries.values

    /** Where the daemon on [host] accepts links, or null when the host is not known. */
    fun addressOf(host: HostName): Address? = merged[host]?.address ?: sightings[host]?.host?.address

    /** What the daemon on [host] last said of itself, its load included, or null. */
    fun sightingOf(host: HostName): ReportedState? = sightings[host]

    /** Whether [host] takes no new work. */
    fun isLeaving(host: HostName): Boolean = merged[host]?.leaving ?: sightings[host]?.leaving ?: false

    /** Takes over the platform's list. */
    fun update(listed: List<ListedHost>) {
        this.listed = listed.associateBy { it.name }
        merge()
    }

    /** Takes over what a daemon said of itself; returns whether it is news. */
    fun learn(sighting: ReportedState): Boolean {
        var isNews = false
        var isOther = false
        sightings.compute(sighting.host.name) { _, known ->
            isNews = known == null || sighting.isAfter(known)
            isOther = known == null || sighting.isOtherThan(known)
            if (isNews) sighting else known
        }
        if (isNews && isOther) merge()
        return isNews
    }

    /** Takes over a summary; returns whether it is news. */
    fun learn(summary: PlaceSummary): Boolean {
        var isNews = false
        summaries.compute(summary.place) { _, known ->
            isNews = known == null || summary.at > known.at
            if (isNews) summary else known
        }
        return isNews
    }

    /** Forgets [host], of which nothing was heard for long. */
    fun forget(host: HostName) {
        if (sightings.remove(host) != null) merge()
    }

    /** Follows the platform's list until cancelled. */
    suspend fun follow(read: ReadHostList) {
        while (true) {
            read()?.let(::update)
            delay(PERIOD)
        }
    }

    @Synchronized
    private fun merge() {
        val told =
            sightings.values.filter { it.role == Role.HOST }.associate { seen ->
                val host = seen.host
                val isLeaving = seen.leaving || listed[host.name]?.leaving == true
                host.name to ListedHost(host.name, host.place, host.address, isLeaving)
            }
        merged = listed + told
    }

    private fun ReportedState.isAfter(known: ReportedState): Boolean {
        if (host.incarnation == known.host.incarnation) return beat > known.beat
        if (host.address != known.host.address) {
            log.warn { "two daemons are called ${host.name}: ${host.address} and ${known.host.address}" }
        }
        return startedAt > known.startedAt
    }

    private fun ReportedState.isOtherThan(known: ReportedState) = host != known.host || leaving != known.leaving

    private companion object {
        val PERIOD = 1.seconds
    }
}
