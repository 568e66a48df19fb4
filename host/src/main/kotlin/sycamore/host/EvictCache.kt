package sycamore.host

import sycamore.model.ProgramId
import sycamore.model.Upstream

/** Asks an engine to evict all cache of a program; true when it acknowledged that it holds none. */
typealias EvictCache = suspend (upstream: Upstream, program: ProgramId) -> Boolean
