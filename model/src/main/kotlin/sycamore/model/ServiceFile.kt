package sycamore.model

/** Reads service files. [ServiceCheck] checks their values against each other. */
object ServiceFile {
    private val kinds = mapOf("model" to ServiceKind.MODEL, "service" to ServiceKind.SERVICE)

    /** Parses and checks [text], the content of the file called [name]. */
    fun read(
        name: String,
        text: String,
    ): Checked<Service> =
        when (val read = TomlFile.read(name, text, ::service)) {
            is Checked.Invalid -> read
            is Checked.Valid -> read.withFindings(ServiceCheck.check(read.value, read.source))
        }

    private fun service(reader: TomlReader): Service =
        Service(
            name = ServiceName(reader.name("name")),
            kind = reader.choice("kind", kinds),
            upstreams = reader.tables("upstreams").map(::upstream),
            contracts = reader.tables("methods").map(::contract),
            budget = budget(reader.table("budget")),
            weights = weights(reader.table("weights")),
            idleLimit = reader.duration("idle_limit", Service.DEFAULT_IDLE_LIMIT),
            models = reader.strings("models").map(::ModelName),
            deadline = reader.duration("deadline", Contract.DEFAULT_DEADLINE),
            limits = reader.tables("limits").map(::limit),
        )

    private fun limit(reader: TomlReader): AccountLimit =
        AccountLimit(
            caller = CallerName(reader.name("caller")),
            rate = if (reader.has("rate")) reader.double("rate") else null,
            concurrency =
                if (reader.has("concurrency")) {
                    reader.long("concurrency", range = 1L..MAX_CAPACITY).toInt()
                } else {
                    null
                },
            tokensPerMinute = if (reader.has("tokens_per_minute")) reader.long("tokens_per_minute") else null,
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
        val default = Budget()
        return Budget(
            tokens = reader.long("tokens", default.tokens, 1..Long.MAX_VALUE),
            calls = reader.long("calls", default.calls, 1..Long.MAX_VALUE),
            elapsed = reader.duration("elapsed", default.elapsed),
        )
    }

    private fun weights(reader: TomlReader): Weights {
        val default = Weights()
        return Weights(
            latency = reader.double("latency", default.latency),
            waste = reader.double("waste", default.waste),
        )
    }

    private const val MAX_CAPACITY = 100_000L
}
