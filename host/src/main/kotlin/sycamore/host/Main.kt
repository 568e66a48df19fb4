package sycamore.host

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import sycamore.daemon.AdminHttp
import sycamore.daemon.ControlPlane
import sycamore.daemon.DaemonSettings
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
import sycamore.model.Epoch
import sycamore.model.Host
import sycamore.model.Incarnation
import sycamore.platform.StoreKeyValue
import sycamore.services.HttpHostList
import sycamore.services.keyValueClient
import kotlin.time.Duration.Companion.seconds

/** Runs the daemon on the host of an upstream. */
fun main(args: Array<String>) {
    val settings = Program.readSettings("sycamore-host", args, DaemonSettings::read)
    LogContext.setHost(settings.name)
    LogContext.setEpoch(Epoch.FIRST)
    val tls = settings.tls?.let { Tls.load(it) { finding -> Program.fail(Program.EXIT_FAILED, finding) } }
    Program.runDaemon("sycamore-host") {
        val http = Http.client()
        val inForce = InForce()
        val metrics = Metrics().apply { bindConfiguration(inForce) }
        tls?.let(metrics::bindTls)
        val members = Members()
        val links = LinkClient(settings.name, settings.linkKeys)
        val self = Host(settings.name, settings.place, settings.listen, Incarnation.random())
        val keys = keyValueClient(StoreKeyValue(settings.keyValue, http, Threads.blocking))
        metrics.bindKeyValue(keys.counts)
        val audit = AuditTrail(keys, settings.name.value)
        val daemon =
            hostDaemon(self) {
                this.inForce = inForce
                this.members = members
                this.keys = keys
                exchange = links::exchange
                this.metrics = metrics.registry
                engine = HttpEngine(http, Threads.blocking)::call
                service = HttpService(http, Threads.blocking)::call
                evictCache = HttpEviction(http, Threads.blocking)::evict
                reports = EngineReports.overHttp(http, Threads.blocking)
            }
        val control = ControlPlane(self, Role.HOST, members, inForce, keys, links::exchange, daemon::load)
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
        Http.serve(settings.http, AdminHttp(inForce, metrics) { control.isLeaving }.handler, settings.limits, tls)
        audit.record(AuditAction.START, "${self.name} ${self.incarnation}", inForce.generation)
        Stop.onTerminationSignal {
            control.leave()
            daemon.stop()
            audit.record(AuditAction.STOP, "${self.name} ${self.incarnation}", inForce.generation)
            server.leave(Stop.DEFAULT_TIMEOUT)
            audit.flush(AUDIT_FLUSH_TIMEOUT)
        }
        CompletableDeferred<Unit>().await()
    }
}

private val AUDIT_FLUSH_TIMEOUT = 5.seconds
