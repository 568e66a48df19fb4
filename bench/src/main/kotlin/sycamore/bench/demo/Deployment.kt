package sycamore.bench.demo

import sycamore.bench.fleet.FleetLayout
import java.io.File

/**
 * One deployment as its callers use it.
 *
 * @property key the key that callers send for authorization.
 * @property service the name of the plain service.
 * @property sale the path of the plain service whose calls are non-idempotent.
 * @property greeting the system message at the beginning of each program.
 * @property requests the first user messages, one for each program.
 */
internal data class Deployment(
    val name: String,
    val layout: FleetLayout,
    val key: String,
    val model: String,
    val service: String,
    val sale: String,
    val greeting: String,
    val requests: List<String>,
) {
    companion object {
        /** The deployment of the wheel workshops, on the fleet whose layout is in [directory]. */
        fun falgverket(directory: File) =
            Deployment(
                name = "falgverket",
                layout = FleetLayout.load(directory),
                key = "demo-key",
                model = "wheel-7b",
                service = "order-app",
                sale = "/deposits",
                greeting = "You book straightening, crack welding and powder coating of alloy wheels. ".repeat(8),
                requests =
                    listOf(
                        "Two rims are bent after a kerb. Can they be straightened this week?",
                        "One spoke has a crack of three centimetres. Is it worth welding?",
                        "Four wheels, matt black powder coating, please.",
                        "The tyre shop says the hub bore is worn. What do you need to see?",
                    ),
            )

        /** The deployment of the bedding renewal, on the fleet whose layout is in [directory]. */
        fun kumasi(directory: File) =
            Deployment(
                name = "kumasi",
                layout = FleetLayout.load(directory),
                key = "loft-key",
                model = "loft-7b",
                service = "depot-app",
                sale = "/charges",
                greeting = "You talk residents through dropping off sleeping bags for washing and repair. ".repeat(8),
                requests =
                    listOf(
                        "I have three bags from the shelter, one with a torn zip.",
                        "How long does a down bag stay at the wash line?",
                        "My family's two bags were dropped off on Monday. Are they dry?",
                    ),
            )
    }
}
