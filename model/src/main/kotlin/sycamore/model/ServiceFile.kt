package sycamore.model

/** Reads the files that operators write: one per service, and one for the fleet. */
object ServiceFile {
    private val kinds = mapOf("model" to ServiceKind.MODEL, "service" to ServiceKind.SERVICE)

    /** Reads a service file called [name] with [text]. */
    fun read(
        name: String,
        text: String,
    ): Checked<Service> = TomlFile.read(name, text, ::service)

    private fun service(reader: TomlReader): Service =
        Service(
            name = ServiceName(reader.name("name")),
            kind = reader.choice("kind", kinds),
            upstreams = reader.tables("upstreams").map(::upstream),
            contracts = reader.tables("methods").map(::contract),
            budget = budget(reader.table("budget")),
            weights = weights(reader.table("weights")),
            idleLimit = reader.duration("idle_limit", Service.DEFAULT_IDLE_LIMIT),
        )

    private fun upstream(reader: TomlReader): Upstream =
        Upstream(
            host = HostName(reader.name("host")),
            place = PlaceName(reader.name("place")),
            address = reader.address("address"),
            capacity = reader.long("capacity", range = 1L..MAX_CAPACITY).toInt(),
            models = reader.strings("models").map(::ModelName),
            memory = reader.size("memory", 0),
            checksFencing = reader.boolean("checks_fencing", false),
        )

    private fun contract(reader: TomlReader): Contract =
        Contract(
            method = reader.string("method"),
            path = reader.string("path"),
            idempotent = reader.boolean("idempotent"),
            deadline = reader.duration("deadline", Contract.DEFAULT_DEADLINE),
        )

    private fun budget(reader: TomlReader): Budget {
        val standard = Budget()
        return Budget(
            tokens = reader.long("tokens", standard.tokens),
            calls = reader.long("calls", standard.calls),
            elapsed = reader.duration("elapsed", standard.elapsed),
        )
    }

    private fun weights(reader: TomlReader): Weights {
        val standard = Weights()
        return Weights(
            latency = reader.double("latency", standard.latency),
            waste = reader.double("waste", standard.waste),
        )
    }

    private const val MAX_CAPACITY = 100_000L
}
