package sycamore.standins

import sycamore.daemon.Http
import sycamore.daemon.Program

/** Runs the stand-ins that the settings name, until the process is stopped. */
fun main(args: Array<String>) {
    val settings = Program.settings("sycamore-standins", args, StandinSettings::read)
    settings.keyValue.forEach { Http.serve(it, KeyValueServer(KeyValueStore()).handler) }
    settings.hostList.forEach { Http.serve(it, HostListServer(settings.hosts).handler) }
    settings.engines.forEach { Http.serve(it, EngineServer().handler) }
    settings.orders.forEach { Http.serve(it, OrderServer().handler) }
    Thread.currentThread().join()
}
