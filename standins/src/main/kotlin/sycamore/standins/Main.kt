package sycamore.standins

import sycamore.daemon.Http
import sycamore.daemon.Program
import sycamore.standins.engine.EngineServer
import sycamore.standins.engine.WeightStore

/** Runs the fakes of outside systems that the settings list, until the process is stopped. */
fun main(args: Array<String>) {
    val settings = Program.readSettings("sycamore-standins", args, StandinSettings::read)
    settings.keyValue.forEach { Http.serve(it, KeyValueServer(KeyValueStore()).handler) }
    settings.hostList.forEach { Http.serve(it, HostListServer(settings.hosts).handler) }
    val weights = WeightStore(settings.weightsPerSecond)
    settings.engines.forEach { Http.serve(it.address, EngineServer(it.spec, it.faults, weights).handler) }
    settings.orders.forEach { Http.serve(it, OrderServer().handler) }
    Thread.currentThread().join()
}
