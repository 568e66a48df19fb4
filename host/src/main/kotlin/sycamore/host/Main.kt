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
import sycamore.daemon.Program
import sycamore.daemon.Threads
import sycamore.links.LinkClient
import sycamore.links.LinkServer
import sycamore.model.Host
import sycamore.model.Incarnation
import sycamore.platform.HttpHostList
import sycamore.platform.HttpKeyValue

/** Runs the daemon beside an upstream. */
fun main(args: Array<String>) {
    val settings = Program.settings("sycamore-host", args, DaemonSettings::read)
    runBlocking(Dispatchers.Default) {
        val http = Http.client()
        val inForce = InForce()
        val members = Members()
        val links = LinkClient(settings.name)
        val self = Host(settings.name, settings.place, settings.listen, Incarnation.random())
        val gate = Gate(HttpEngine(http, Threads.blocking)::call, HttpService(http, Threads.blocking)::call)
        val daemon = HostDaemon(self, inForce, members, links::exchange, gate)
        launch { inForce.follow(HttpKeyValue(settings.keyValue, http, Threads.blocking)) }
        launch { members.follow(HttpHostList.at(settings.hostList, http, Threads.blocking)) }
        LinkServer.listen(settings.name, settings.listen, daemon::serve)
        Http.serve(settings.http, AdminHttp(inForce).handler)
        CompletableDeferred<Unit>().await()
    }
}
