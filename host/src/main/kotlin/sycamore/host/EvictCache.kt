package sycamore.host

import sycamore.model.ProgramId
import sycamore.model.Upstream

/** Requests an engine to evict the cache of a program. Returns true if the engine acknowledged that it holds none. */
typealias EvictCache = suspend (upstream: Upstream, program: ProgramId) -> Boolean
