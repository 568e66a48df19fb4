package sycamore.host

import sycamore.model.HomeId

/**
 * Thrown when a home cannot go on since [successor] has taken it over. It changes no state and sends no answers any
 * more.
 */
internal class HomeEndedException(
    val successor: HomeId,
) : Exception("taken over by $successor")
