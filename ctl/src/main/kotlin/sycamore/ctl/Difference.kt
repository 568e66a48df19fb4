package sycamore.ctl

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import sycamore.daemon.audit.AuditChange
import sycamore.model.Configuration

/** Compares two configurations value by value. */
internal object Difference {
    /** Encodes defaults too, since the default of an omitted value was in force all the same. */
    private val json = Json { encodeDefaults = true }

    private val identifyingKeys = listOf("name", "host", "caller")

    /** Returns the values that differ from [old] to [new], sorted by part and by path within it. */
    fun between(
        old: Configuration?,
        new: Configuration,
    ): List<AuditChange> {
        val before = old?.parts().orEmpty()
        val after = new.parts()
        return (before.keys + after.keys)
            .sorted()
            .filter { before[it] != after[it] }
            .flatMap { label -> changesOf(label, before[label], after[label]) }
    }

    private fun changesOf(
        label: String,
        old: Part?,
        new: Part?,
    ): List<AuditChange> {
        val before = values(old)
        val after = values(new)
        return (before.keys + after.keys)
            .sorted()
            .filter { before[it] != after[it] }
            .map { AuditChange("$label: $it", before[it], after[it]) }
    }

    private fun values(part: Part?): Map<String, String> {
        val tree =
            when (part) {
                null -> return emptyMap()
                is Part.Places -> json.encodeToJsonElement(part.places)
                is Part.Links -> json.encodeToJsonElement(part.links)
                is Part.Account -> json.encodeToJsonElement(part.caller)
                is Part.OfService -> json.encodeToJsonElement(part.service)
            }
        return LinkedHashMap<String, String>().also { flatten("", tree, it) }
    }

    private fun flatten(
        path: String,
        element: JsonElement,
        into: MutableMap<String, String>,
    ) {
        when (element) {
            is JsonNull -> Unit
            is JsonPrimitive -> into[path] = element.content
            is JsonObject -> element.forEach { (key, value) -> flatten(join(path, key), value, into) }
            is JsonArray -> flattenArray(path, element, into)
        }
    }

    private fun flattenArray(
        path: String,
        array: JsonArray,
        into: MutableMap<String, String>,
    ) {
        if (array.all { it is JsonPrimitive }) {
            if (array.isNotEmpty()) into[path] = array.joinToString { (it as JsonPrimitive).content }
            return
        }
        array.forEachIndexed { i, item -> flatten("$path[${identity(item) ?: i}]", item, into) }
    }

    /** Returns the name of an item of an array, which stays the same when items before it are added or removed. */
    private fun identity(item: JsonElement): String? {
        val values = item as? JsonObject ?: return null
        val text = { key: String -> (values[key] as? JsonPrimitive)?.content }
        identifyingKeys.firstNotNullOfOrNull(text)?.let { return it }
        val method = text("method")
        if (method != null) return "$method ${text("path")}"
        return text("from")?.let { "$it-${text("to")}" }
    }

    private fun join(
        path: String,
        key: String,
    ) = if (path.isEmpty()) key else "$path.$key"
}
