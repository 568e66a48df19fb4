package sycamore.bench.slopes

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.util.Locale

/** Formats slopes as a table or as JSON. */
internal object SlopeTable {
    private const val ROW = "%-26s %-9s %12s %11s %12s  %s"

    /** Formats [slopes] as the lines of a table, with a header. */
    fun lines(slopes: List<Slope>): List<String> =
        listOf(format(ROW, "slope", "role", "value", "error", "at zero", "unit")) + slopes.map(::line)

    private fun line(slope: Slope): String =
        format(
            ROW,
            slope.name,
            slope.role,
            number(slope.fit.slope),
            number(slope.fit.standardError),
            number(slope.fit.intercept),
            "${slope.unit} per ${slope.per}, ${slope.points.joinToString(" ") { point(it) }}",
        )

    private fun point(point: Point) = "${number(point.size)}:${number(point.value)}"

    /** Formats [slopes] as one JSON array. */
    fun json(slopes: List<Slope>): String = JsonArray(slopes.map(::toJson)).toString()

    private fun toJson(slope: Slope) =
        JsonObject(
            mapOf(
                "name" to JsonPrimitive(slope.name),
                "role" to JsonPrimitive(slope.role),
                "unit" to JsonPrimitive(slope.unit),
                "per" to JsonPrimitive(slope.per),
                "slope" to JsonPrimitive(slope.fit.slope),
                "error" to JsonPrimitive(slope.fit.standardError),
                "at_zero" to JsonPrimitive(slope.fit.intercept),
                "points" to JsonArray(slope.points.map { pair(it) }),
            ),
        )

    private fun pair(point: Point) = JsonArray(listOf(JsonPrimitive(point.size), JsonPrimitive(point.value)))

    private fun number(value: Double): String = format("%.4g", value)

    private fun format(
        format: String,
        vararg values: Any,
    ): String = String.format(Locale.ROOT, format, *values)
}
