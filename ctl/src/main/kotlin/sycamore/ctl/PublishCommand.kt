package sycamore.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import sycamore.daemon.audit.AuditAction
import sycamore.daemon.audit.AuditChange
import sycamore.daemon.audit.AuditTrail
import sycamore.model.Checked
import sycamore.model.Configuration
import sycamore.model.Generation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.uuid.Uuid

/** `sycamorectl publish`: publishes the files of a directory as the next configuration. */
internal class PublishCommand(
    terminal: Terminal,
) : OnlineCommand("publish", "Put the files of a directory in force", terminal) {
    private val directory by argument(ArgType.String, description = "Directory with fleet.toml and the service files")
    private val dryRun by option(ArgType.Boolean, "dry-run", description = "Only show what would change").default(false)
    private val confirm by option(
        ArgType.String,
        "confirm",
        description = "Service, caller or place whose dangerous change is meant; may be repeated",
    ).multiple()
    private val noWait by option(
        ArgType.Boolean,
        "no-wait",
        description = "Do not wait until it is in force; without a list of hosts publish never waits",
    ).default(false)
    private val by by option(ArgType.String, "as", description = "Name for the audit trail; the login name by default")

    override suspend fun run(fleet: FleetClient): Exit =
        when (val checked = readDirectory(directory)) {
            is Checked.Valid -> publish(fleet, checked.value)
            is Checked.Invalid -> terminal.printFindings(checked.findings).let { Exit.FAILED }
        }

    private suspend fun publish(
        fleet: FleetClient,
        files: Configuration,
    ): Exit {
        val operator = by ?: System.getProperty("user.name") ?: "operator"
        val request = PublishRequest(files, Uuid.random().toString(), operator, confirm.toSet(), dryRun)
        val audit = AuditTrail(fleet.keys, operator)
        val published =
            Publish(fleet.keys).run(request) { generation, changes ->
                changes.forEach(terminal::printLine)
                announce(audit, request, generation, changes)
            }
        val exit = PublishReport(terminal).show(published, request.publishId)
        val isWaiting = published is PublishResult.Accepted && fleet.hosts != null && !noWait
        return if (isWaiting) Rollout(terminal, fleet::survey).await(published.generation, ROLLOUT_TIMEOUT) else exit
    }

    /** Writes the publish to the audit trail before it can take effect. Returns whether it was written. */
    private suspend fun announce(
        audit: AuditTrail,
        request: PublishRequest,
        generation: Generation,
        changes: List<AuditChange>,
    ): Boolean {
        audit.record(AuditAction.PUBLISH, request.publishId, generation, changes)
        return audit.writeAll(AUDIT_TIMEOUT)
    }

    private companion object {
        val AUDIT_TIMEOUT: Duration = 15.seconds
        val ROLLOUT_TIMEOUT: Duration = 60.seconds
    }
}
