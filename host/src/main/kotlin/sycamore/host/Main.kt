package sycamore.host

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import sycamore.daemon.AdminHttp
import sycamore.daemon.DaemonSettings
import sycamore.daemon.Http
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.daemon.Metrics
import sycamore.daemon.Program
import sycamore.daemon.Threads
import sycamore.daemon.Tls
import sycamore.daemon.log.LogContext
import sycamore.links.LinkClient
import sycamore.links.LinkServer
import sycamore.model.Host
import sycamore.model.Incarnation
import sycamore.platform.HttpHostList
import sycamore.platform.HttpKeyValue

/** Runs the daemon beside an upstream. */
fun main(args: Array<String>) {
    val settings = Program.settings("sycamore-host", args, DaemonSettings::read)
    LogContext.host(settings.name)
    val tls = settings.tls?.let { Tls.of(it) { finding -> Program.fail(Program.EXIT_FAILED, finding) } }
    runBlocking(Dispatchers.Default) {
        val http = Http.client()
        val inForce = InForce()
        val metrics = Metrics().apply { bindProcess(inForce) }
        tls?.let(metrics::bindTls)
        val members = Members()
        val links = LinkClient(settings.name)
        val self = Host(settings.name, settings.place, settings.listen, Incarnation.random())
        val keys = HttpKeyValue(settings.keyValue, http, Threads.blocking)
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
            }
        launch { inForce.follow(keys) }
        launch { daemon.run() }
        launch { members.follow(HttpHostList.at(settings.hostList, http, Threads.blocking)) }
        LinkServer.listen(settings.name, settings.listen, serve = daemon::serve)
        launch { tls?.follow() }
        Http.serve(settings.http, AdminHttp(inForce, metrics).handler, settings.limits, tls)
        CompletableDeferred<Unit>().await()
    }
}
