package sycamore.ctl

import kotlinx.serialization.Serializable
import sycamore.model.Caller
import sycamore.model.Configuration
import sycamore.model.Digest
import sycamore.model.Link
import sycamore.model.Place
import sycamore.model.Service
import sycamore.services.wireJson

/** A part of a configuration. Operators change the parts independently of each other. */
@Serializable
internal sealed interface Part {
    /** The name of this part, unique in a configuration, such as `service assist-llm`. */
    val label: String

    /** All places. */
    @Serializable
    data class Places(
        val places: List<Place>,
    ) : Part {
        override val label get() = "places"
    }

    /** All links. */
    @Serializable
    data class Links(
        val links: List<Link>,
    ) : Part {
        override val label get() = "links"
    }

    /** One account. */
    @Serializable
    data class Account(
        val caller: Caller,
    ) : Part {
        override val label get() = "caller ${caller.name}"
    }

    /** One service. */
    @Serializable
    data class OfService(
        val service: Service,
    ) : Part {
        override val label get() = "service ${service.name}"
    }
}

/** The digest of this part that a [PublishMark][sycamore.model.PublishMark] keeps. */
internal fun Part.digest(): Digest = Digest.sha256(wireJson.encodeToString(this).encodeToByteArray())

/** The parts of this configuration by label. */
internal fun Configuration.parts(): Map<String, Part> {
    val all =
        listOf(Part.Places(places), Part.Links(links)) + callers.map(Part::Account) + services.map(Part::OfService)
    return all.associateBy { it.label }
}

/** This configuration with [parts] in place of its own. */
internal fun Configuration.with(parts: Collection<Part>): Configuration =
    copy(
        places = parts.filterIsInstance<Part.Places>().flatMap { it.places },
        links = parts.filterIsInstance<Part.Links>().flatMap { it.links },
        callers = parts.filterIsInstance<Part.Account>().map { it.caller }.sortedBy { it.name.value },
        services = parts.filterIsInstance<Part.OfService>().map { it.service }.sortedBy { it.name.value },
    )

/** The result of applying one operator's changes on top of another's. */
internal sealed interface Merge {
    /** The changes are independent of each other; [parts] have both. */
    data class Clean(
        val parts: Collection<Part>,
    ) : Merge

    /** Both changed the parts with [labels], in different ways. */
    data class Clash(
        val labels: List<String>,
    ) : Merge
}

/** Applies the changes from [base] to [mine] on top of [theirs]. */
internal fun merge(
    base: Map<String, Part>,
    mine: Map<String, Part>,
    theirs: Map<String, Part>,
): Merge {
    val changed = (base.keys + mine.keys).filter { base[it] != mine[it] }
    val clashes = changed.filter { theirs[it] != base[it] && theirs[it] != mine[it] }
    if (clashes.isNotEmpty()) return Merge.Clash(clashes.sorted())
    val merged = theirs - changed.toSet() + mine.filterKeys(changed.toSet()::contains)
    return Merge.Clean(merged.values)
}
