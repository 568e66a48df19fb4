package sycamore.daemon

import io.micrometer.core.instrument.FunctionCounter
import sycamore.services.CallCounts
import sycamore.services.CallKind
import sycamore.services.CallOutcome

/** Registers counters of the calls to the key-value service, by kind and outcome. */
fun Metrics.bindKeyValue(counts: CallCounts) {
    for (kind in CallKind.entries) {
        for (outcome in CallOutcome.entries) {
            FunctionCounter
                .builder("sycamore.key.value.calls", counts) { it.count(kind, outcome).toDouble() }
                .tag("kind", kind.name.lowercase())
                .tag("outcome", outcome.name.lowercase())
                .register(registry)
        }
    }
}
