package sycamore.host

import sycamore.model.HomeId

/** The home was taken over by [successor]: it changes nothing and answers nothing any more. */
internal class HomeEnded(
    val successor: HomeId,
) : Exception("taken over by $successor")
