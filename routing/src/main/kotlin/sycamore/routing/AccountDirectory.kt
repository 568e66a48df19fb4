package sycamore.routing

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import sycamore.model.CallerName
import sycamore.model.Digest

/**
 * The accounts of one configuration. Keys are known by their SHA-256 digests only.
 *
 * @property accounts the accounts by name.
 * @property isInUse whether the configuration names accounts, so that requests need a key. It may do so although none of them can
 *   be used.
 * @param byKey the account of each key.
 */
class AccountDirectory(
    val accounts: ImmutableMap<CallerName, ClientAccount>,
    private val byKey: ImmutableMap<Digest, ClientAccount>,
    val isInUse: Boolean = accounts.isNotEmpty(),
) {
    /** The account that holds the key with the digest [key]; null if none does. */
    fun find(key: Digest): ClientAccount? = byKey[key]

    companion object {
        /** The directory of a configuration without accounts. */
        val EMPTY = AccountDirectory(persistentMapOf(), persistentMapOf())
    }
}
