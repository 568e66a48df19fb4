package sycamore.model

/** Checks the files of a publish against each other; each file was found right on its own. */
object ConfigurationCheck {
    /** All findings about [services] together and against [fleet], sorted. */
    fun check(
        fleet: Checked.Valid<Fleet>,
        services: List<Checked.Valid<Service>>,
    ): List<Finding> =
        buildList {
            addAll(names(services))
            addAll(references(fleet.value, services))
            addAll(upstreams(services))
            addAll(models(services))
        }.sorted()

    /** All findings about [configuration] as a whole, when it was put together from several publishes. */
    fun check(configuration: Configuration): List<Finding> {
        val source = Source("generation ${configuration.generation}")
        val fleet = Fleet(configuration.places, configuration.links, configuration.callers)
        val services = configuration.services.map { Checked.Valid(it, source) }
        val alone = FleetCheck.check(fleet, source) + services.flatMap { ServiceCheck.check(it.value, source) }
        return (alone + check(Checked.Valid(fleet, source), services)).sorted()
    }

    private fun names(services: List<Checked.Valid<Service>>): List<Finding> =
        repeats(services) { it.value.name }.map { i ->
            val name = services[i].value.name
            services[i].source.finding("name", "service '$name' again", "each service in one file")
        }

    private fun references(
        fleet: Fleet,
        services: List<Checked.Valid<Service>>,
    ): List<Finding> {
        val places = fleet.places.map { it.name }
        val callers = fleet.callers.map { it.name }
        return services.flatMap { (service, source) ->
            buildList {
                service.upstreams.forEachIndexed { i, upstream ->
                    if (upstream.place !in places) {
                        val expected = "one of ${places.joinToString { "'$it'" }}"
                        add(source.finding("upstreams[$i].place", "place '${upstream.place}'", expected))
                    }
                }
                service.limits.forEachIndexed { i, limit ->
                    if (limit.caller !in callers) {
                        val expected = "a caller of ${FleetFile.NAME}"
                        add(source.finding("limits[$i].caller", "caller '${limit.caller}'", expected))
                    }
                }
            }
        }
    }

    private class Placed(
        val service: Service,
        val source: Source,
        val index: Int,
    ) {
        val upstream get() = service.upstreams[index]
    }

    /** Hosts have one slot and addresses one upstream, in whatever service. */
    private fun upstreams(services: List<Checked.Valid<Service>>): List<Finding> {
        val all =
            services.flatMap { (service, source) ->
                service.upstreams.indices.map { Placed(service, source, it) }
            }
        return buildList {
            clashes(all) { it.upstream.host }.forEach { (first, second) ->
                val found = "host '${second.upstream.host}', which service '${first.service.name}' has"
                add(second.source.finding("upstreams[${second.index}].host", found, "a host in one service"))
            }
            clashes(all) { it.upstream.address }.forEach { (first, second) ->
                val found = "address ${second.upstream.address}, which service '${first.service.name}' has"
                add(second.source.finding("upstreams[${second.index}].address", found, "an address in one service"))
            }
        }
    }

    private fun <K> clashes(
        all: List<Placed>,
        key: (Placed) -> K,
    ): List<Pair<Placed, Placed>> =
        all.groupBy(key).values.flatMap { same ->
            same.drop(1).filter { it.service.name != same.first().service.name }.map { same.first() to it }
        }

    /** A call names a model only, so one service has to answer for it. */
    private fun models(services: List<Checked.Valid<Service>>): List<Finding> {
        val owner = HashMap<ModelName, ServiceName>()
        return buildList {
            for ((service, source) in services) {
                service.upstreams.forEachIndexed { i, upstream ->
                    val taken = upstream.models.firstOrNull { owner.getOrPut(it) { service.name } != service.name }
                    if (taken != null) {
                        val found = "model '$taken', which service '${owner[taken]}' has"
                        add(source.finding("upstreams[$i].models", found, "a model in one service"))
                    }
                }
            }
        }
    }
}
