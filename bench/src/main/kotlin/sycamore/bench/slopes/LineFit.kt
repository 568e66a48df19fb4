package sycamore.bench.slopes

import kotlin.math.sqrt

/** The [value] that was measured at one [size]. */
data class Point(
    val size: Double,
    val value: Double,
)

/**
 * The line through measured points with the least squared error.
 *
 * @property standardError the standard error of [slope].
 */
data class LineFit(
    val slope: Double,
    val intercept: Double,
    val standardError: Double,
) {
    companion object {
        /** Minimum number of sizes, below which the standard error is not defined. */
        const val MIN_SIZES = 3

        /** Fits a line to [points], which must have at least [MIN_SIZES] different sizes. */
        fun fit(points: List<Point>): LineFit {
            val sizes = points.map { it.size }.distinct().size
            require(sizes >= MIN_SIZES) { "expected points of at least $MIN_SIZES sizes, found $sizes" }
            val meanSize = points.map { it.size }.average()
            val meanValue = points.map { it.value }.average()
            val squaredDeviation = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val slope = points.sumOf { (it.size - meanSize) * (it.value - meanValue) } / squaredDeviation
            val intercept = meanValue - slope * meanSize
            val squaredResidual = points.sumOf { square(it.value - intercept - slope * it.size) }
            return LineFit(slope, intercept, sqrt(squaredResidual / (points.size - 2) / squaredDeviation))
        }

        private fun square(value: Double) = value * value
    }
}
