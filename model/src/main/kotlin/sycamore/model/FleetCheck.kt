package sycamore.model

/** Checks the values of the fleet file against each other. */
internal object FleetCheck {
    private val sha256Hex = Regex("[0-9a-f]{64}")

    /** Checks [fleet], whose values are at the positions in [source], and returns all findings. */
    fun check(
        fleet: Fleet,
        source: Source,
    ): List<Finding> =
        buildList {
            addAll(checkPlaces(fleet, source))
            addAll(checkLinks(fleet, source))
            addAll(checkRegionsConnected(fleet, source))
            addAll(checkCallers(fleet, source))
        }

    private fun checkPlaces(
        fleet: Fleet,
        source: Source,
    ): List<Finding> =
        buildList {
            if (fleet.places.isEmpty()) add(source.finding("places", "no [[places]]", "at least one"))
            duplicateIndexes(fleet.places) { it.name }.forEach { i ->
                add(source.finding("places[$i].name", "place '${fleet.places[i].name}' again", "each place once"))
            }
        }

    private fun checkLinks(
        fleet: Fleet,
        source: Source,
    ): List<Finding> =
        buildList {
            val regions = fleet.places.mapTo(HashSet()) { it.region }
            fleet.links.forEachIndexed { i, link ->
                if (link.from !in regions) add(source.finding("links[$i].from", "region '${link.from}'", KNOWN_REGION))
                if (link.to !in regions) add(source.finding("links[$i].to", "region '${link.to}'", KNOWN_REGION))
                if (link.from == link.to) {
                    add(source.finding("links[$i].to", "region '${link.to}' at both ends", "two different regions"))
                }
            }
            duplicateIndexes(fleet.links) { setOf(it.from, it.to) }.forEach { i ->
                val link = fleet.links[i]
                val found = "a link of '${link.from}' and '${link.to}' again"
                add(source.finding("links[$i].from", found, "each pair of regions once"))
            }
        }

    /** Finds the regions that no path of links connects to the first region. */
    private fun checkRegionsConnected(
        fleet: Fleet,
        source: Source,
    ): List<Finding> {
        val regions = fleet.places.map { it.region }.distinct()
        val reached = regions.take(1).toMutableSet()
        var reachedBefore: Int
        do {
            reachedBefore = reached.size
            fleet.links.filter { it.from in reached || it.to in reached }.forEach { reached += setOf(it.from, it.to) }
        } while (reached.size > reachedBefore)
        return regions.filterNot(reached::contains).map { region ->
            val i = fleet.places.indexOfFirst { it.region == region }
            val found = "region '$region' without a way to '${regions.first()}'"
            source.finding("places[$i].region", found, "[[links]] that join all regions")
        }
    }

    private fun checkCallers(
        fleet: Fleet,
        source: Source,
    ): List<Finding> =
        buildList {
            duplicateIndexes(fleet.callers) { it.name }.forEach { i ->
                add(source.finding("callers[$i].name", "caller '${fleet.callers[i].name}' again", "each caller once"))
            }
            duplicateIndexes(fleet.callers) { it.salt to it.keyHash }.forEach { i ->
                add(source.finding("callers[$i].key_hash", "the key of another caller", "a key for each caller"))
            }
            fleet.callers.forEachIndexed { i, caller ->
                if (!sha256Hex.matches(caller.keyHash.hex)) {
                    val found = "\"${caller.keyHash.hex}\""
                    add(source.finding("callers[$i].key_hash", found, "64 hex digits, as from 'sycamorectl key'"))
                }
                if (caller.salt.isEmpty()) add(source.finding("callers[$i].salt", "no salt", "random text"))
                if (caller.rate <= 0.0) add(source.finding("callers[$i].rate", "${caller.rate}", "a rate above 0"))
            }
        }

    private const val KNOWN_REGION = "a region that one of [[places]] names"
}
