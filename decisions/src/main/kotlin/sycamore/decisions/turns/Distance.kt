package sycamore.decisions.turns

import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName

/** Distance between two places. */
enum class Distance {
    SAME_PLACE,
    SAME_REGION,
    OTHER_REGION,
    ;

    companion object {
        /** The distance from [place] to [other]; [regions] maps each place to its region. */
        fun between(
            place: Place,
            other: PlaceName,
            regions: Map<PlaceName, RegionName>,
        ): Distance =
            when {
                other == place.name -> SAME_PLACE
                regions[other] == place.region -> SAME_REGION
                else -> OTHER_REGION
            }
    }
}
