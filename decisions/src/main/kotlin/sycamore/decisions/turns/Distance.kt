package sycamore.decisions.turns

import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName

/** How far one place is from another. */
enum class Distance {
    SAME_PLACE,
    SAME_REGION,
    OTHER_REGION,
    ;

    companion object {
        /** How far [other] is from [place]; [regions] tells the region of each place. */
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
