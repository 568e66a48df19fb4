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

/** `sycamorectl publish`: puts the files of a directory in force. */
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
            is Checked.Invalid -> terminal.sayFindings(checked.findings).let { Exit.FAILED }
        }

    private suspend fun publish(
        fleet: FleetClient,
        files: Configuration,
    ): Exit {
        val who = by ?: System.getProperty("user.name") ?: "operator"
        val request = PublishRequest(files, Uuid.random().toString(), who, confirm.toSet(), dryRun)
        val audit = AuditTrail(fleet.keys, who)
        val published =
            Publish(fleet.keys).run(request) { generation, changes ->
                changes.forEach(terminal::say)
                announce(audit, request, generation, changes)
            }
        val exit = PublishReport(terminal).show(published, request.publishId)
        val isWaiting = published is Published.Accepted && fleet.hosts != null && !noWait
        return if (isWaiting) Rollout(terminal, fleet::survey).await(published.generation, ROLLOUT_WITHIN) else exit
    }

    /** The trail names each publish before it can take effect. */
    private suspend fun announce(
        audit: AuditTrail,
        request: PublishRequest,
        generation: Generation,
        changes: List<AuditChange>,
    ): Boolean {
        audit.record(AuditAction.PUBLISH, request.publishId, generation, changes)
        return audit.writeAll(AUDIT_WITHIN)
    }

    private companion object {
        val AUDIT_WITHIN: Duration = 15.seconds
        val ROLLOUT_WITHIN: Duration = 60.seconds
    }
}
