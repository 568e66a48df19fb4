package sycamore.daemon

import sycamore.links.LinkKey
import sycamore.links.LinkKeys
import sycamore.model.Address
import sycamore.model.TomlReader

/**
 * Reads the keys in `link_keys`. The first key signs; all of them are accepted from peers.
 *
 * Links without keys accept any peer, so [listen] has to be a loopback address if there are none. A null [listen] skips
 * this check.
 */
fun TomlReader.linkKeys(listen: Address?): LinkKeys {
    val texts = strings("link_keys")
    val keys = texts.map(LinkKey::parse)
    keys.forEachIndexed { i, key ->
        val found = "${texts[i].length} characters in key ${i + 1}"
        if (key == null) report("link_keys", found, "at least ${LinkKey.MIN_CHARACTERS} characters")
    }
    val isReachableFromOutside = listen != null && listen.ip.isNotEmpty() && !listen.ip.startsWith("127.")
    if (texts.isEmpty() && isReachableFromOutside) {
        report("listen", "$listen without link_keys", "link_keys, or an address of 127.0.0.0/8")
    }
    return LinkKeys(keys.filterNotNull())
}
