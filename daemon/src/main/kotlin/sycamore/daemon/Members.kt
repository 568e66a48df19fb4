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
 * The known daemons: those in the platform's list of hosts, and those that reported their own state, which takes
 * precedence over the list.
 *
 * A host that reported that it is leaving counts as leaving until a later incarnation of it reports, even if the list
 * does not show it as leaving.
 */
class Members {
    @Volatile
    private var listed: Map<HostName, ListedHost> = emptyMap()

    @Volatile
    private var merged: Map<HostName, ListedHost> = emptyMap()

    private val reported = ConcurrentHashMap<HostName, ReportedState>()
    private val summaries = ConcurrentHashMap<PlaceName, PlaceSummary>()

    /** All known hosts, including those that are leaving. */
    val all: Collection<ListedHost> get() = merged.values

    /** The last reported state of each daemon, including entries. */
    val reportedStates: Collection<ReportedState> get() = reported.values

    /** The latest summary of each place. */
    val places: Collection<PlaceSummary> get() = summaries.values

    /** Returns the address on which the daemon on [host] accepts links, or null if the host is unknown. */
    fun addressOf(host: HostName): Address? = merged[host]?.address ?: reported[host]?.host?.address

    /** Returns the last reported state of the daemon on [host], including its load, or null if there is none. */
    fun reportedStateOf(host: HostName): ReportedState? = reported[host]

    /** Whether [host] accepts no new work. */
    fun isLeaving(host: HostName): Boolean = merged[host]?.leaving ?: reported[host]?.leaving ?: false

    /** Replaces the platform's list of hosts by [listed]. */
    fun update(listed: List<ListedHost>) {
        this.listed = listed.associateBy { it.name }
        merge()
    }

    /** Records the state that a daemon reported; returns whether it is newer than the recorded one. */
    fun record(state: ReportedState): Boolean {
        var isNewer = false
        var isChanged = false
        reported.compute(state.host.name) { _, known ->
            isNewer = known == null || state.isNewerThan(known)
            isChanged = known == null || state.differsFrom(known)
            if (isNewer) state else known
        }
        if (isNewer && isChanged) merge()
        return isNewer
    }

    /** Records a summary; returns whether it is newer than the recorded one. */
    fun record(summary: PlaceSummary): Boolean {
        var isNewer = false
        summaries.compute(summary.place) { _, known ->
            isNewer = known == null || summary.at > known.at
            if (isNewer) summary else known
        }
        return isNewer
    }

    /** Removes the reported state of [host], which has been unresponsive for too long. */
    fun remove(host: HostName) {
        if (reported.remove(host) != null) merge()
    }

    /** Reads the platform's list of hosts with [read] at a fixed interval until cancelled. */
    suspend fun pollHostList(read: ReadHostList) {
        while (true) {
            read()?.let(::update)
            delay(POLL_INTERVAL)
        }
    }

    @Synchronized
    private fun merge() {
        val selfReported =
            reported.values.filter { it.role == Role.HOST }.associate { state ->
                val host = state.host
                val isLeaving = state.leaving || listed[host.name]?.leaving == true
                host.name to ListedHost(host.name, host.place, host.address, isLeaving)
            }
        merged = listed + selfReported
    }

    private fun ReportedState.isNewerThan(known: ReportedState): Boolean {
        if (host.incarnation == known.host.incarnation) return beat > known.beat
        if (host.address != known.host.address) {
            log.warn { "two daemons use the name ${host.name}: one at ${host.address}, one at ${known.host.address}" }
        }
        return startedAt > known.startedAt
    }

    private fun ReportedState.differsFrom(known: ReportedState) = host != known.host || leaving != known.leaving

    private companion object {
        val POLL_INTERVAL = 1.seconds
    }
}
