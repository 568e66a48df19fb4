package sycamore.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.launch
import org.http4k.routing.routes
import sycamore.daemon.AdminHttp
import sycamore.daemon.ControlPlane
import sycamore.daemon.Http
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.daemon.Metrics
import sycamore.daemon.Program
import sycamore.daemon.Stop
import sycamore.daemon.Threads
import sycamore.daemon.Tls
import sycamore.daemon.audit.AuditAction
import sycamore.daemon.audit.AuditTrail
import sycamore.daemon.bindKeyValue
import sycamore.daemon.log.LogContext
import sycamore.links.LinkClient
import sycamore.links.LinkServer
import sycamore.links.Role
import sycamore.model.Caller
import sycamore.model.Host
import sycamore.model.Incarnation
import sycamore.platform.StoreKeyValue
import sycamore.services.HttpHostList
import sycamore.services.keyValueClient
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs an entry daemon. */
fun main(args: Array<String>) {
    val entry = Program.readSettings("sycamore-entry", args, EntrySettings::read)
    val settings = entry.daemon
    LogContext.setHost(settings.name)
    val tls = settings.tls?.let { Tls.load(it) { finding -> Program.fail(Program.EXIT_FAILED, finding) } }
    Program.runDaemon("sycamore-entry") {
        val http = Http.client()
        val inForce = InForce()
        val metrics = Metrics().apply { bindConfiguration(inForce) }
        tls?.let(metrics::bindTls)
        val members = Members()
        val links = LinkClient(settings.name, settings.linkKeys)
        val keys = keyValueClient(StoreKeyValue(settings.keyValue, http, Threads.blocking))
        metrics.bindKeyValue(keys.counts)
        val audit = AuditTrail(keys, settings.name.value)
        val self = Host(settings.name, settings.place, settings.listen, Incarnation.random())
        val daemon =
            entryDaemon(self) {
                this.inForce = inForce
                this.members = members
                this.keys = keys
                exchange = links::exchange
                this.metrics = metrics.registry
            }
        val control = ControlPlane(self, Role.ENTRY, members, inForce, keys, links::exchange)
        launch { control.run() }
        launch { audit.run() }
        launch { daemon.run() }
        launch { members.pollHostList(HttpHostList.reader(settings.hostList, http, Threads.blocking)) }
        val server =
            Program.listeningOn(settings.listen) {
                LinkServer.listen(
                    settings.name,
                    settings.listen,
                    settings.linkKeys,
                    serve = control.wrapHandler(daemon::serve),
                )
            }
        launch { tls?.watchFiles() }
        val limits = AccountLimits(entry.entries)
        launch {
            inForce.configuration.filterNotNull().collect {
                limits.retain(it.callers.map(Caller::name).toSet())
            }
        }
        val callers = EntryHttp(inForce, daemon, limits, settings.limits.bodyBytes, EntryMeters(metrics.registry))
        val admin = AdminHttp(inForce, metrics) { control.isLeaving }.handler
        Http.serve(settings.http, routes(admin, callers.handler), settings.limits, tls, Problem::overLimit)
        audit.record(AuditAction.START, "${self.name} ${self.incarnation}", inForce.generation)
        Stop.onTerminationSignal {
            control.leave()
            delay(BALANCER_NOTICE_DELAY)
            while (daemon.callsInProgress > 0) delay(DRAIN_CHECK_INTERVAL)
            delay(ANSWER_FLUSH_DELAY)
            audit.record(AuditAction.STOP, "${self.name} ${self.incarnation}", inForce.generation)
            server.leave(Stop.DEFAULT_TIMEOUT)
            audit.flush(AUDIT_FLUSH_TIMEOUT)
        }
        CompletableDeferred<Unit>().await()
    }
}

/** Time for the platform's balancer to notice that this entry is not ready; calls are still accepted until then. */
private val BALANCER_NOTICE_DELAY = 5.seconds

private val DRAIN_CHECK_INTERVAL = 50.milliseconds

/** Time for the last bytes of answers to reach the callers after the last call has ended. */
private val ANSWER_FLUSH_DELAY = 500.milliseconds

private val AUDIT_FLUSH_TIMEOUT = 5.seconds
