package sycamore.model

/** The places, links and callers that all services share, from `fleet.toml`. */
data class Fleet(
    val places: List<Place>,
    val links: List<Link>,
    val callers: List<Caller>,
)

/** Reads the fleet file. */
object FleetFile {
    /** The name of the fleet file in the published directory. */
    const val FILE_NAME = "fleet.toml"

    /** Parses and checks [text], the content of the file called [name]. */
    fun read(
        name: String,
        text: String,
    ): Checked<Fleet> =
        when (val read = TomlFile.read(name, text, ::fleet)) {
            is Checked.Invalid -> read
            is Checked.Valid -> read.withFindings(FleetCheck.check(read.value, read.source))
        }

    private fun fleet(reader: TomlReader): Fleet =
        Fleet(
            places = reader.tables("places").map(::place),
            links = reader.tables("links").map(::link),
            callers = reader.tables("callers").map(::caller),
        )

    private fun place(reader: TomlReader): Place =
        Place(PlaceName(reader.name("name")), RegionName(reader.name("region")))

    private fun link(reader: TomlReader): Link =
        Link(
            from = RegionName(reader.name("from")),
            to = RegionName(reader.name("to")),
            latency = reader.duration("latency"),
            billed = reader.boolean("billed", true),
        )

    private fun caller(reader: TomlReader): Caller =
        Caller(
            name = CallerName(reader.name("name")),
            salt = reader.string("salt"),
            keyHash = Digest(reader.string("key_hash")),
            rate = reader.double("rate", Caller.DEFAULT_RATE),
            concurrency = reader.long("concurrency", Caller.DEFAULT_CONCURRENCY.toLong(), 1L..Int.MAX_VALUE).toInt(),
        )
}
