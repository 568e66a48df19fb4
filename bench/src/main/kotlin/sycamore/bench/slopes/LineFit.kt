package sycamore.bench.slopes

import kotlin.math.sqrt

/** One measured size and what it gave. */
data class Point(
    val size: Double,
    val value: Double,
)

/**
 * The line through measured points with the least squared error.
 *
 * @property error the standard error of [slope].
 */
data class LineFit(
    val slope: Double,
    val intercept: Double,
    val error: Double,
) {
    companion object {
        /** Sizes that a fit needs, so that it has an error. */
        const val MIN_SIZES = 3

        /** Fits [points], which need at least [MIN_SIZES] sizes. */
        fun of(points: List<Point>): LineFit {
            val sizes = points.map { it.size }.distinct().size
            require(sizes >= MIN_SIZES) { "expected points of at least $MIN_SIZES sizes, found $sizes" }
            val meanSize = points.map { it.size }.average()
            val meanValue = points.map { it.value }.average()
            val spread = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val slope = points.sumOf { (it.size - meanSize) * (it.value - meanValue) } / spread
            val intercept = meanValue - slope * meanSize
            val residual = points.sumOf { square(it.value - intercept - slope * it.size) }
            return LineFit(slope, intercept, sqrt(residual / (points.size - 2) / spread))
        }

        private fun square(value: Double) = value * value
    }
}
