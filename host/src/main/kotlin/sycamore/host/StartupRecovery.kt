package sycamore.host

import kotlinx.coroutines.delay
import sycamore.daemon.Directory
import sycamore.links.TakeOver
import sycamore.links.TakenOver
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.programs.Fences
import sycamore.programs.HomeRecord
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WriteResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The work on homes when a daemon starts: loads the table of ended homes, registers the daemon's own home in the
 * key-value service, and takes over the former home of the host. A home that replaces an ended one later is registered
 * in the same way.
 */
internal class StartupRecovery(
    private val self: HostName,
    private val keys: KeyValue,
    private val fences: Fences,
    private val directory: Directory,
    private val takeovers: Takeovers,
) {
    /** The home that was registered before, as last read. */
    @Volatile
    private var formerHome: HomeId? = null

    /** Reads the table of ended homes, with retries until the service responds. */
    suspend fun loadEndedHomes() {
        while (true) {
            val read = keys.list(HomeRecord.PREFIX)
            if (read is ReadResult.Found) {
                val records = read.value.mapNotNull { item -> HomeRecord.parseKey(item.key)?.let { it to item.value } }
                fences.loadTakeovers(
                    records
                        .mapNotNull { (home, value) ->
                            value?.let { home to successorOf(it) }
                        }.toMap(),
                )
                return
            }
            delay(RETRY_DELAY)
        }
    }

    /** Registers [home] as the present home of this host, and takes over the former one. */
    suspend fun recover(home: HomeId) {
        while (true) {
            val registration = register(home)
            if (registration is Registration.Done) return takeOver(registration.former, home)
            delay(RETRY_DELAY)
        }
    }

    private sealed interface Registration {
        /** The home is registered. [former] is the home that it replaced, if there was one. */
        class Done(
            val former: HomeId?,
        ) : Registration

        data object NotYet : Registration
    }

    /**
     * Attempts to write the registration of [home]. If the outcome is unknown, only a later attempt sees that the write
     * succeeded, when the former home can no longer be read. So the former home is kept from the first attempt on.
     */
    private suspend fun register(home: HomeId): Registration {
        val key = HomeRecord.hostKey(self)
        val read = keys.get(key) as? ReadResult.Found ?: return Registration.NotYet
        val former = read.value?.value?.let { HomeId.parse(it.decodeToString()) }
        if (former == home) return Registration.Done(formerHome)
        formerHome = former
        val version = read.value?.version ?: Revision.ABSENT
        val write = keys.put(key, home.toString().encodeToByteArray(), version)
        return if (write is WriteResult.Applied) Registration.Done(former) else Registration.NotYet
    }

    private suspend fun takeOver(
        former: HomeId?,
        home: HomeId,
    ) {
        if (former == null || former == home) return
        while (true) {
            val reply = takeovers.takeOver(TakeOver(former))
            if (reply is TakenOver) {
                directory.recordSuccessor(former, reply.successor)
                return
            }
            delay(RETRY_DELAY)
        }
    }

    private fun successorOf(value: ByteArray): HomeId = HomeRecord.decode(value).successor

    private companion object {
        val RETRY_DELAY: Duration = 1.seconds
    }
}
