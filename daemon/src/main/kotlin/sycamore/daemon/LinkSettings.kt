package sycamore.daemon

import sycamore.links.LinkKey
import sycamore.links.LinkKeys
import sycamore.model.Address
import sycamore.model.TomlReader

/**
 * The keys in `link_keys`, the one that signs first.
 *
 * Links without keys are open to anyone, so that [listen] has to be a loopback address then; null asks for none.
 */
fun TomlReader.linkKeys(listen: Address?): LinkKeys {
    val texts = strings("link_keys")
    val keys = texts.map(LinkKey::parse)
    keys.forEachIndexed { i, key ->
        val found = "${texts[i].length} characters in key ${i + 1}"
        if (key == null) report("link_keys", found, "at least ${LinkKey.MIN_CHARACTERS} characters")
    }
    val isOpen = listen != null && listen.ip.isNotEmpty() && !listen.ip.startsWith("127.")
    if (texts.isEmpty() && isOpen) {
        report("listen", "$listen without link_keys", "link_keys, or an address of 127.0.0.0/8")
    }
    return LinkKeys(keys.filterNotNull())
}
