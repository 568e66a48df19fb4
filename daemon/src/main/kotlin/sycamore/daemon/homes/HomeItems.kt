package sycamore.daemon.homes

import sycamore.model.validOrNull
import sycamore.services.Item
import sycamore.turns.HomeEntry
import sycamore.turns.HomeKeys

/** The registration of a home that this item holds; null if it is deleted or not valid. */
fun Item.homeEntry(): HomeEntry? = value?.let { HomeKeys.decode(key, it).validOrNull() }
