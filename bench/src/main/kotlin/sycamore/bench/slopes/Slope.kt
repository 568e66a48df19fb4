package sycamore.bench.slopes

/**
 * How one quantity of a role grows with the size of something.
 *
 * @property name unique among the slopes; CAPACITY.md refers to it.
 * @property role the process that carries the quantity: `entry`, `host`, `any` or `key-value`.
 * @property unit of the values, for example `bytes`.
 * @property per what the size counts, for example `program`.
 */
data class Slope(
    val name: String,
    val role: String,
    val unit: String,
    val per: String,
    val points: List<Point>,
) {
    /** The line through the points. */
    val fit: LineFit = LineFit.of(points)

    companion object {
        /** Measures [value] at each of [sizes]. */
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
