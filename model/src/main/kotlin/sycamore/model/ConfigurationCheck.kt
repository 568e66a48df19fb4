package sycamore.model

/** Checks the files of a publish against each other. Each of them has passed its own checks before. */
object ConfigurationCheck {
    /** Checks [services] against each other and against [fleet], and returns all findings, sorted. */
    fun check(
        fleet: Checked.Valid<Fleet>,
        services: List<Checked.Valid<Service>>,
    ): List<Finding> =
        buildList {
            addAll(checkNames(services))
            addAll(checkReferences(fleet.value, services))
            addAll(checkUpstreams(services))
            addAll(checkModels(services))
        }.sorted()

    /** Checks a complete [configuration] that was merged from several publishes, and returns all findings, sorted. */
    fun check(configuration: Configuration): List<Finding> {
        val source = Source("generation ${configuration.generation}")
        val fleet = Fleet(configuration.places, configuration.links, configuration.callers)
        val services = configuration.services.map { Checked.Valid(it, source) }
        val separate = FleetCheck.check(fleet, source) + services.flatMap { ServiceCheck.check(it.value, source) }
        return (separate + check(Checked.Valid(fleet, source), services)).sorted()
    }

    private fun checkNames(services: List<Checked.Valid<Service>>): List<Finding> =
        duplicateIndexes(services) { it.value.name }.map { i ->
            val name = services[i].value.name
            services[i].source.finding("name", "service '$name' again", "each service in one file")
        }

    /** Checks that services refer only to places and callers of [fleet]. */
    private fun checkReferences(
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
                        val expected = "a caller of ${FleetFile.FILE_NAME}"
                        add(source.finding("limits[$i].caller", "caller '${limit.caller}'", expected))
                    }
                }
            }
        }
    }

    /** The upstream at [index] of [service]. The positions of the values of the service are in [source]. */
    private class ServiceUpstream(
        val service: Service,
        val source: Source,
        val index: Int,
    ) {
        val upstream get() = service.upstreams[index]
    }

    /** Checks that no host and no address is used by the upstreams of two services. */
    private fun checkUpstreams(services: List<Checked.Valid<Service>>): List<Finding> {
        val all =
            services.flatMap { (service, source) ->
                service.upstreams.indices.map { ServiceUpstream(service, source, it) }
            }
        return buildList {
            conflicts(all) { it.upstream.host }.forEach { (first, second) ->
                val found = "host '${second.upstream.host}', which service '${first.service.name}' has"
                add(second.source.finding("upstreams[${second.index}].host", found, "a host in one service"))
            }
            conflicts(all) { it.upstream.address }.forEach { (first, second) ->
                val found = "address ${second.upstream.address}, which service '${first.service.name}' has"
                add(second.source.finding("upstreams[${second.index}].address", found, "an address in one service"))
            }
        }
    }

    /** Pairs of upstreams of different services with the same [key]; the first one is the earliest with that key. */
    private fun <K> conflicts(
        all: List<ServiceUpstream>,
        key: (ServiceUpstream) -> K,
    ): List<Pair<ServiceUpstream, ServiceUpstream>> =
        all.groupBy(key).values.flatMap { same ->
            same.drop(1).filter { it.service.name != same.first().service.name }.map { same.first() to it }
        }

    /** Checks that each model belongs to one service, since a call names its model and not its service. */
    private fun checkModels(services: List<Checked.Valid<Service>>): List<Finding> {
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
