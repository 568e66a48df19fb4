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

/** What a daemon does about homes when it starts: it announces its own and takes over the one it had before. */
internal class Recovery(
    private val self: HostName,
    private val keys: KeyValue,
    private val fences: Fences,
    private val directory: Directory,
    private val takeovers: Takeovers,
) {
    @Volatile
    private var replaced: HomeId? = null

    /** Reads the table of ended homes, as often as it takes. */
    suspend fun loadFences() {
        while (true) {
            val read = keys.list(HomeRecord.PREFIX)
            if (read is ReadResult.Found) {
                val records = read.value.mapNotNull { item -> HomeRecord.parseKey(item.key)?.let { it to item.value } }
                fences.loadTakeovers(
                    records
                        .mapNotNull { (home, value) ->
                            value?.let { home to successor(it) }
                        }.toMap(),
                )
                return
            }
            delay(RETRY)
        }
    }

    /** Announces [home] as the present one on this host, and takes over the former one. */
    suspend fun announce(home: HomeId) {
        while (true) {
            val former = claim(home)
            if (former is Claim.Taken) return takeOver(former.former, home)
            delay(RETRY)
        }
    }

    private sealed interface Claim {
        class Taken(
            val former: HomeId?,
        ) : Claim

        data object NotYet : Claim
    }

    /** Two reads may lie between the write and its proof, so the former home is remembered from the first one on. */
    private suspend fun claim(home: HomeId): Claim {
        val key = HomeRecord.hostKey(self)
        val read = keys.get(key) as? ReadResult.Found ?: return Claim.NotYet
        val former = read.value?.value?.let { HomeId.parse(it.decodeToString()) }
        if (former == home) return Claim.Taken(replaced)
        replaced = former
        val version = read.value?.version ?: Revision.ABSENT
        val write = keys.put(key, home.toString().encodeToByteArray(), version)
        return if (write is WriteResult.Applied) Claim.Taken(former) else Claim.NotYet
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
            delay(RETRY)
        }
    }

    private fun successor(value: ByteArray): HomeId = HomeRecord.decode(value).successor

    private companion object {
        val RETRY: Duration = 1.seconds
    }
}
