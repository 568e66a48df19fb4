package sycamore.host

import sycamore.model.HomeId

/** Thrown in a home that [successor] has taken over. That home changes no state and sends no answers afterwards. */
internal class HomeEndedException(
    val successor: HomeId,
) : Exception("taken over by $successor")
