package sycamore.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.Serializable
import sycamore.links.PlaceSummary
import sycamore.links.ReportedState
import sycamore.services.wireJson

/** `sycamorectl status`: prints the places and their daemons, as a daemon of each place reports them. */
internal class StatusCommand(
    terminal: Terminal,
) : OnlineCommand("status", "Show the places and their daemons", terminal) {
    private val json by option(ArgType.Boolean, "json", description = "Print it as JSON").default(false)
    private val all by option(ArgType.Boolean, "all", "a", "List every daemon").default(false)

    @Serializable
    private class Status(
        val places: List<PlaceSummary>,
        val daemons: List<ReportedState>,
    )

    override suspend fun run(fleet: FleetClient): Exit {
        val report = fleet.survey() ?: throw MisuseException("expected --host-list IP:port, found none")
        if (json) {
            terminal.printLine(wireJson.encodeToString(Status(report.places, report.daemons)))
        } else {
            report.places.forEach { terminal.printLine(line(it)) }
            if (all) report.daemons.forEach { terminal.printLine(line(it)) }
            report.unresponsive.forEach { terminal.printNotice("place $it: no daemon answered") }
        }
        return if (report.unresponsive.isEmpty()) Exit.DONE else Exit.FAILED
    }

    private fun line(place: PlaceSummary) =
        "${place.place}: ${place.daemons} daemons, ${place.leaving} leaving, generation ${place.generation} " +
            "(${place.behind} behind), ${place.running} running and ${place.queued} queued of ${place.capacity}"

    private fun line(daemon: ReportedState): String {
        val state = if (daemon.leaving) "leaving" else "up"
        val kind = daemon.role.name.lowercase()
        return "  ${daemon.host.place} ${daemon.host.name} ($kind) $state, generation ${daemon.generation}, " +
            "${daemon.running} running, ${daemon.queued} queued"
    }
}
