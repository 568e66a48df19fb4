package sycamore.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.http4k.routing.routes
import sycamore.daemon.AdminHttp
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

/** Runs an entry daemon. */
fun main(args: Array<String>) {
    val entry = Program.settings("sycamore-entry", args, EntrySettings::read)
    val settings = entry.daemon
    LogContext.host(settings.name)
    val tls = settings.tls?.let { Tls.of(it) { finding -> Program.fail(Program.EXIT_FAILED, finding) } }
    runBlocking(Dispatchers.Default) {
        val http = Http.client()
        val inForce = InForce()
        val metrics = Metrics().apply { bindProcess(inForce) }
        tls?.let(metrics::bindTls)
        val members = Members()
        val links = LinkClient(settings.name)
        val keys = HttpKeyValue(settings.keyValue, http, Threads.blocking)
        val self = Host(settings.name, settings.place, settings.listen, Incarnation.random())
        val daemon =
            entryDaemon(self) {
                this.inForce = inForce
                this.members = members
                this.keys = keys
                exchange = links::exchange
                this.metrics = metrics.registry
            }
        launch { inForce.follow(keys) }
        launch { daemon.run() }
        launch { members.follow(HttpHostList.at(settings.hostList, http, Threads.blocking)) }
        LinkServer.listen(settings.name, settings.listen, serve = daemon::serve)
        launch { tls?.follow() }
        val limits = AccountLimits(entry.entries)
        launch {
            inForce.configuration.filterNotNull().collect {
                limits.retain(
                    it.callers
                        .map { c ->
                            c.name
                        }.toSet(),
                )
            }
        }
        val callers = EntryHttp(inForce, daemon, limits, settings.limits.bodyBytes, EntryMeters(metrics.registry))
        val admin = AdminHttp(inForce, metrics).handler
        Http.serve(settings.http, routes(admin, callers.handler), settings.limits, tls, Problem::overLimit)
        CompletableDeferred<Unit>().await()
    }
}
