package sycamore.bench.slopes

/**
 * The growth of one quantity of a role with the size of something.
 *
 * @property name the unique name of the slope, by which CAPACITY.md refers to it.
 * @property role the process that carries the quantity: `entry`, `host`, `any` or `key-value`.
 * @property unit the unit of the values, for example `bytes`.
 * @property per the thing that the size counts, for example `program`.
 */
data class Slope(
    val name: String,
    val role: String,
    val unit: String,
    val per: String,
    val points: List<Point>,
) {
    /** The line through the points. */
    val fit: LineFit = LineFit.fit(points)

    companion object {
        /** Measures [value] at each size of [sizes]. */
        fun measure(
            name: String,
            role: String,
            unit: String,
            per: String,
            sizes: List<Int>,
            value: (Int) -> Double,
        ): Slope = Slope(name, role, unit, per, sizes.map { Point(it.toDouble(), value(it)) })
    }
}
